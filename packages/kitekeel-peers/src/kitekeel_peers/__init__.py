"""Messages between daemons: membership, configuration spread, grants."""
