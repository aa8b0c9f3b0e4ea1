"""Runs a daemon: ``kitekeeld --settings FILE``, or ``python -m kitekeel_daemon``."""

from kitekeel_daemon.start_signals import block_stop_signals

# Importing the modules below takes most of the startup time. A stop signal must not kill
# the process during it.
block_stop_signals()

from kitekeel_daemon.main import main  # noqa: E402

if __name__ == "__main__":
    main()
