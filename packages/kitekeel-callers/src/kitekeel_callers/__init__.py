"""The HTTP front end for callers: look-ups, request intake and outcomes."""
