"""The lab's command line: ``python -m kitekeel_lab ...``."""

from kitekeel_lab.cli import main

main()
