"""Runs the operators' command line: ``python -m kitekeel_operators ...``."""

from kitekeel_operators.cli import main

main()
