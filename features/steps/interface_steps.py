"""Steps about the documented interfaces and the command line."""

import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

import urllib3
from behave import then, when
from behave.runner import Context

FAULTY_CONFIGURATION = """[region north]
zones = n1
entry_machines = many
[service search]
longest_run = soon
[class search/urgent]
rank = 1
sure_share = 0.9
most_share = 0.5
[backend b1]
service = serch
zone = n9
address = example.org:80
slots = 5
colour = blue
"""
FAULTY_SETTINGS = """[daemon]
name = Daemon One
region = north
place = 0
[callers]
address = 127.0.0.1
[operators]
address = 127.0.0.1:1
key = short
[peers]
address = 127.0.0.1:2
secret = long-enough-to-be-secret
[platform]
address = 127.0.0.1:3
"""


def kitekeel(context: Context, *arguments: str) -> subprocess.CompletedProcess[str]:
    environment = dict(os.environ)
    if hasattr(context, "cluster"):
        environment["KITEKEEL_DAEMON"] = context.deployment.daemons[0].operator_address
        environment["KITEKEEL_OPERATOR_KEY"] = context.cluster.operator_key
    return subprocess.run(
        [sys.executable, "-m", "kitekeel_operators", *arguments],
        capture_output=True,
        text=True,
        env=environment,
        timeout=60,
        check=False,
    )


def check_schema(document: dict[str, Any], schema: dict[str, Any], value: object) -> None:
    """Check a value against the part of JSON Schema that the document uses."""
    if "$ref" in schema:
        name = schema["$ref"].rpartition("/")[2]
        check_schema(document, document["components"]["schemas"][name], value)
        return
    kinds = {"object": dict, "array": list, "string": str, "integer": int, "boolean": bool}
    kinds |= {"number": (int, float), "null": type(None)}
    allowed = schema["type"] if isinstance(schema["type"], list) else [schema["type"]]
    assert any(isinstance(value, kinds[kind]) for kind in allowed), (schema, value)
    if isinstance(value, dict):
        missing = [name for name in schema.get("required", []) if name not in value]
        assert not missing, (missing, value)
        for name, part in schema.get("properties", {}).items():
            if name in value:
                check_schema(document, part, value[name])
    if isinstance(value, list):
        for item in value:
            check_schema(document, schema["items"], item)


@then("every documented answer of a daemon has the documented form")
def documented_answers(context: Context) -> None:
    daemon = context.deployment.daemons[0]
    operators, callers = daemon.operator_address, daemon.caller_address
    document = json.loads(urllib3.request("GET", f"http://{operators}/v1/openapi").data)
    key = {"Kitekeel-Operator-Key": context.cluster.operator_key}
    calls = [
        ("GET", callers, "/v1/entries?service=search", "/v1/entries", {}, None),
        ("GET", callers, "/v1/entries?service=none", "/v1/entries", {}, None),
        ("GET", callers, "/v1/services/none/x", "/v1/services/{service}/{path}", {}, None),
        ("POST", callers, "/v1/services/loans/x", "/v1/services/{service}/{path}", {}, None),
        ("POST", operators, "/v1/query", "/v1/query", key, {"text": "show zones"}),
        ("POST", operators, "/v1/query", "/v1/query", key, {"text": "show"}),
        ("POST", operators, "/v1/query", "/v1/query", {}, {"text": "show zones"}),
        ("POST", operators, "/v1/command", "/v1/command", key, {"text": "drain zone x"}),
        (
            "POST",
            operators,
            "/v1/command",
            "/v1/command",
            key,
            {"text": "drain zone nl-zuid-1", "dry_run": True},
        ),
        ("POST", operators, "/v1/apply", "/v1/apply", key, {"text": "[region]"}),
        ("POST", operators, "/v1/events", "/v1/events", key, None),
    ]
    for method, address, target, path, headers, body in calls:
        payload = json.dumps(body).encode() if body is not None else None
        answer = urllib3.request(method, f"http://{address}{target}", headers=headers, body=payload)
        responses = document["paths"][path][method.lower()]["responses"]
        assert str(answer.status) in responses, (target, answer.status, answer.data)
        schema = responses[str(answer.status)]["content"]["application/json"]["schema"]
        check_schema(document, schema, json.loads(answer.data))


@then('"check" of a faulty file prints every finding with its line and ends with {code:d}')
def check_faulty(context: Context, code: int) -> None:
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "faulty.ini"
        file.write_text(FAULTY_CONFIGURATION)
        done = kitekeel(context, "check", str(file))
    assert done.returncode == code, done
    for line, kind in (
        (3, "bad-number"),
        (5, "bad-duration"),
        (8, "sure-above-most"),
        (11, "unknown-service"),
        (12, "unknown-zone"),
        (13, "bad-address"),
        (15, "unknown-option"),
    ):
        assert f"faulty.ini:{line}: {kind}" in done.stdout, (line, kind, done.stdout)


@then('"query show classes" prints a table and ends with {code:d}')
def query_classes(context: Context, code: int) -> None:
    done = kitekeel(context, "query", "show", "classes")
    assert done.returncode == code and "cataloguer" in done.stdout, done


@then('"query show nonsense" names the column and what was expected and ends with {code:d}')
def query_nonsense(context: Context, code: int) -> None:
    done = kitekeel(context, "query", "show", "nonsense")
    assert done.returncode == code, done
    assert "column 6" in done.stderr and "'services'" in done.stderr, done.stderr


@then('"command drain zone nl-zuid-1 --dry-run" changes nothing and ends with {code:d}')
def dry_run(context: Context, code: int) -> None:
    done = kitekeel(context, "command", "drain", "zone", "nl-zuid-1", "--dry-run")
    assert done.returncode == code and "added zone nl-zuid-1" in done.stdout, done
    assert not context.cluster.query("show drains").rows


@then('"command drain zone nl-zuid-1" is in force everywhere and ends with {code:d}')
def real_run(context: Context, code: int) -> None:
    done = kitekeel(context, "command", "drain", "zone", "nl-zuid-1")
    assert done.returncode == code, done
    assert "in force on 6 of 6 daemons" in done.stdout, done.stdout


@then('"command drain zone nowhere" says which zones there are and ends with {code:d}')
def unknown_zone(context: Context, code: int) -> None:
    done = kitekeel(context, "command", "drain", "zone", "nowhere")
    assert done.returncode == code and "nl-noord-1" in done.stderr, done


@then('"timeline" tells of the drain on every daemon and ends with {code:d}')
def timeline(context: Context, code: int) -> None:
    done = kitekeel(context, "timeline", "--form", "json")
    assert done.returncode == code, done
    found = json.loads(done.stdout)
    assert not found["missing"], found["missing"]
    accepted = [each for each in found["events"] if each["kind"] == "command-accepted"][-1]
    text = accepted["text"].partition(":")[0]
    adopted = [
        each
        for each in found["events"]
        if each["kind"] == "configuration-adopted" and each["text"] == text
    ]
    assert len({each["instance"] for each in adopted}) == len(context.deployment.daemons)
    order = [each["stamp"] for each in found["events"]]
    assert order == sorted(order)


@when("a daemon is started on faulty settings")
def start_faulty(context: Context) -> None:
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "daemon.ini"
        file.write_text(FAULTY_SETTINGS)
        context.done = subprocess.run(
            [sys.executable, "-m", "kitekeel_daemon", "--settings", str(file)],
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )


@then("it ends with {code:d} and prints every finding with its line")
def refused_settings(context: Context, code: int) -> None:
    assert context.done.returncode == code, context.done
    for line, kind in (
        (1, "missing-option"),
        (2, "bad-name"),
        (4, "bad-number"),
        (6, "bad-address"),
        (9, "secret-too-short"),
    ):
        assert f"daemon.ini:{line}: {kind}" in context.done.stderr, context.done.stderr
