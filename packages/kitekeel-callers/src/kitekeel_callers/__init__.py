"""The callers' front end: look-ups, request intake, outcomes."""
