"""Entry point of ``python -m kitekeel_operators``, the operators' command line."""

from kitekeel_operators.cli import main

main()
