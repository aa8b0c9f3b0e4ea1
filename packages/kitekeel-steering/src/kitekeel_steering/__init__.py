"""Typed model, placement, admission, shifts and the capacity ledger."""
