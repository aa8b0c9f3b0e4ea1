"""Query and command language, operator end points, the kitekeel binary."""
