"""The ``kitekeel`` binary: checks files, asks daemons and commands them.

Exit codes: 0 done; 1 refused or failed; 2 findings or a statement that is not of the language; 3 no
daemon answers; 4 the change is accepted but some daemons have not confirmed it; 5 the outcome of a
change is unknown, and it should be repeated with the same command id.
"""

from __future__ import annotations

import os
import secrets
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Literal

import defopt
import msgspec

from kitekeel_operators.client import (
    DaemonUnreachableError,
    OperatorClient,
    OperatorRefusedError,
)
from kitekeel_operators.language import LanguageError
from kitekeel_operators.messages import ApplyRequest, CommandReply, StatementRequest
from kitekeel_operators.tables import format_command, format_table
from kitekeel_operators.timeline import collect_timeline, format_html, format_text
from kitekeel_steering.configuration_text import parse_configuration
from kitekeel_steering.errors import ConfigurationOutcomeUnknownError, KitekeelError
from kitekeel_steering.findings import FindingsError
from kitekeel_steering.settings import is_settings_text, parse_settings

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_FINDINGS = 2
EXIT_UNREACHABLE = 3
EXIT_NOT_CONFIRMED = 4
EXIT_OUTCOME_UNKNOWN = 5

_ADDRESS_VARIABLE = "KITEKEEL_DAEMON"
_KEY_VARIABLE = "KITEKEEL_OPERATOR_KEY"


TimelineFormat = Literal["text", "json", "html"]


def check(file: Path, *, json: bool = False) -> int:
    """Check a settings or configuration file and print every finding.

    :param file: the INI file
    :param json: print findings as JSON
    """
    text = file.read_text()
    try:
        if is_settings_text(text):
            parse_settings(text, str(file))
        else:
            parse_configuration(text, str(file))
    except FindingsError as error:
        if json:
            _print_json(error.findings)
        else:
            print("\n".join(str(each) for each in error.findings))
        return EXIT_FINDINGS
    print("[]" if json else f"{file}: no findings")
    return EXIT_DONE


def query(*statement: str, daemon: str = "", key: str = "", json: bool = False) -> int:
    """Ask a daemon, for example ``kitekeel query show services``.

    :param statement: words of the query
    :param daemon: operators' address of any daemon, else $KITEKEEL_DAEMON
    :param key: the operators' key, else $KITEKEEL_OPERATOR_KEY
    :param json: print JSON
    """
    reply = _client(daemon, key).query(" ".join(statement))
    if json:
        _print_json(reply)
    else:
        print(format_table(reply))
    return EXIT_DONE


def command(
    *statement: str,
    daemon: str = "",
    key: str = "",
    command_id: str = "",
    dry_run: bool = False,
    json: bool = False,
) -> int:
    """Command, for example ``kitekeel command drain zone nl-noord-1``.

    :param statement: words of the command
    :param daemon: operators' address of any daemon, else $KITEKEEL_DAEMON
    :param key: the operators' key, else $KITEKEEL_OPERATOR_KEY
    :param command_id: repeats under the same id take effect once
    :param dry_run: say what would change, and change nothing
    :param json: print JSON
    """
    request = StatementRequest(" ".join(statement), command_id or secrets.token_hex(8), dry_run)
    return _print_command(_client(daemon, key).command(request), json)


def apply(
    file: Path,
    *,
    daemon: str = "",
    key: str = "",
    command_id: str = "",
    dry_run: bool = False,
    json: bool = False,
) -> int:
    """Put a configuration file into force.

    :param file: the INI file with regions, links, services, classes and back ends
    :param daemon: operators' address of any daemon, else $KITEKEEL_DAEMON
    :param key: the operators' key, else $KITEKEEL_OPERATOR_KEY
    :param command_id: repeats under the same id take effect once
    :param dry_run: say what would change, and change nothing
    :param json: print JSON
    """
    text = file.read_text()
    parse_configuration(text, str(file))
    request = ApplyRequest(text, command_id or secrets.token_hex(8), dry_run)
    return _print_command(_client(daemon, key).apply(request), json)


def status(*, daemon: str = "", key: str = "", json: bool = False) -> int:
    """Show the daemons and the pools.

    :param daemon: operators' address of any daemon, else $KITEKEEL_DAEMON
    :param key: the operators' key, else $KITEKEEL_OPERATOR_KEY
    :param json: print JSON
    """
    client = _client(daemon, key)
    replies = {subject: client.query(f"show {subject}") for subject in ("daemons", "pools")}
    if json:
        _print_json(replies)
    else:
        print("\n\n".join(format_table(reply) for reply in replies.values()))
    return EXIT_DONE


def stop(*, daemon: str = "", key: str = "") -> int:
    """Begin the planned stop of the daemon asked.

    :param daemon: operators' address of the daemon, else $KITEKEEL_DAEMON
    :param key: the operators' key, else $KITEKEEL_OPERATOR_KEY
    """
    print(_client(daemon, key).stop().message)
    return EXIT_DONE


def timeline(*, daemon: str = "", key: str = "", form: TimelineFormat = "text") -> int:
    """Print the events of all daemons in causal order.

    :param daemon: operators' address of any daemon, else $KITEKEEL_DAEMON
    :param key: the operators' key, else $KITEKEEL_OPERATOR_KEY
    :param form: text, json or html
    """
    found = collect_timeline(_address(daemon), _key(key))
    if form == "json":
        _print_json(found)
    else:
        print(format_html(found) if form == "html" else format_text(found))
    return EXIT_DONE


def main() -> None:
    """Run the command line."""
    functions = [check, query, command, apply, status, stop, timeline]
    sys.exit(_run(lambda: int(defopt.run(functions))))


def _run(action: Callable[[], int]) -> int:
    """Run a command line action; turn errors into a line and an exit code."""
    try:
        return action()
    except DaemonUnreachableError as error:
        return _fail(error, EXIT_UNREACHABLE)
    except (FindingsError, LanguageError) as error:
        return _fail(error, EXIT_FINDINGS)
    except OperatorRefusedError as error:
        print(f"{error.refusal_code}: {error.message}", file=sys.stderr)
        return _exit_code(error.refusal_code)
    except KitekeelError as error:
        return _fail(error, EXIT_FAILED)
    except OSError as error:
        print(f"file: {error}", file=sys.stderr)
        return EXIT_FAILED


def _exit_code(refusal_code: str) -> int:
    if refusal_code in (LanguageError.code, FindingsError.code):
        return EXIT_FINDINGS
    if refusal_code == ConfigurationOutcomeUnknownError.code:
        return EXIT_OUTCOME_UNKNOWN
    return EXIT_FAILED


def _fail(error: KitekeelError, code: int) -> int:
    print(f"{error.code}: {error.message}", file=sys.stderr)
    return code


def _print_command(reply: CommandReply, as_json: bool) -> int:
    if as_json:
        _print_json(reply)
    else:
        print(format_command(reply))
    return EXIT_NOT_CONFIRMED if reply.missing else EXIT_DONE


def _print_json(value: object) -> None:
    print(msgspec.json.format(msgspec.json.encode(value)).decode())


def _client(address: str, key: str) -> OperatorClient:
    return OperatorClient(_address(address), _key(key))


def _address(given: str) -> str:
    address = given or os.environ.get(_ADDRESS_VARIABLE, "")
    if not address:
        raise DaemonUnreachableError(f"give --daemon IP:port or set {_ADDRESS_VARIABLE}")
    return address


def _key(given: str) -> str:
    return given or os.environ.get(_KEY_VARIABLE, "")
