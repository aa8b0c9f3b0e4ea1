"""Addresses on this machine for whatever tests start."""

from kitekeel_lab.ports import free_address

__all__ = ["free_address"]
