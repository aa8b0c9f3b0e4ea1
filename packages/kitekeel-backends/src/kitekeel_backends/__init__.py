"""Forwarding to back ends, load probes, cancellation."""
