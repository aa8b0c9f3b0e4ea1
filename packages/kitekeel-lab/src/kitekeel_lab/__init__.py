"""Stand-ins, fault proxy, load and experiments (not shipped as a binary)."""
