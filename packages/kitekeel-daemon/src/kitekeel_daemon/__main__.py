"""Runs a daemon: ``python -m kitekeel_daemon --settings FILE``."""

from kitekeel_daemon.main import main

main()
