"""Runs a daemon: ``kitekeeld --settings FILE``, or ``python -m kitekeel_daemon``."""

from kitekeel_daemon.start_signals import hold_signals

# Loading the modules below takes most of the start; a stop signal must not end it meanwhile.
hold_signals()

from kitekeel_daemon.main import main  # noqa: E402

if __name__ == "__main__":
    main()
