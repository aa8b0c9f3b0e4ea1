"""Property tests draw the same examples in every run, so that one commit has one verdict."""

from hypothesis import settings

settings.register_profile("same-each-time", derandomize=True, database=None, deadline=None)
settings.load_profile("same-each-time")
