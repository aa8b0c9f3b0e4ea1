"""The operators' query and command language, HTTP endpoints and ``kitekeel`` command line."""
