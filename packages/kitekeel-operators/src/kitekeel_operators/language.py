"""Parser of the query and command language; errors give the column and the expected tokens."""

from __future__ import annotations

from functools import cache
from importlib import resources
from typing import Any

import lark

from kitekeel_operators.statements import (
    CancelShiftCommand,
    CapLinkCommand,
    CapShiftCommand,
    Command,
    DrainCommand,
    Query,
    SetClassCommand,
    SetServiceCommand,
    SetSlotsCommand,
    ShiftCommand,
    Statement,
    Subject,
)
from kitekeel_steering.errors import KitekeelError
from kitekeel_steering.ini import parse_duration
from kitekeel_steering.model import DrainScope

_DEFAULT_RAMP_SECONDS = 10.0


class LanguageError(KitekeelError):
    """The text is not a valid statement of the language.

    Attributes:
        column: position of the error, counted from 1.
        expected: keywords or kinds of tokens that are valid at that position.
    """

    code = "syntax"

    def __init__(self, column: int, found: str, expected: tuple[str, ...]) -> None:
        choices = ", ".join(expected)
        super().__init__(f"column {column}: found {found}, expected one of: {choices}")
        self.column = column
        self.expected = expected


def parse_statement(text: str) -> Statement:
    """Parse a text into a statement.

    Raises:
        LanguageError: the text is not a valid statement.

    Example:
        >>> parse_statement("show zones")
        Query(subject=<Subject.ZONES: 'zones'>)
    """
    try:
        tree = _parser().parse(text)
    except lark.UnexpectedInput as error:
        raise _language_error(error, text) from error
    statement: Statement = _StatementBuilder().transform(tree)
    return statement


def parse_command(text: str) -> Command:
    """Parse a text into a command.

    Raises:
        LanguageError: the text is not a valid statement, or it is a query.
    """
    statement = parse_statement(text)
    if isinstance(statement, Query):
        raise LanguageError(1, "'show'", ("a command",))
    return statement


@cache
def _parser() -> lark.Lark:
    grammar = resources.files("kitekeel_operators").joinpath("grammar.lark").read_text()
    return lark.Lark(grammar, parser="lalr", lexer="contextual", propagate_positions=True)


def _language_error(error: lark.UnexpectedInput, text: str) -> LanguageError:
    parser = _parser()
    allowed = getattr(error, "accepts", None) or getattr(error, "allowed", None) or set()
    expected = tuple(sorted(_describe_terminal(parser, name) for name in allowed))
    if isinstance(error, lark.UnexpectedToken) and error.token.type != "$END":
        return LanguageError(error.column, f"'{error.token}'", expected)
    if isinstance(error, lark.UnexpectedCharacters):
        return LanguageError(error.column, f"'{error.char}'", expected)
    return LanguageError(len(text) + 1, "the end", expected)


def _describe_terminal(parser: lark.Lark, terminal: str) -> str:
    kinds = {
        "NAME": "a name",
        "NUMBER": "a whole number",
        "PERCENT": "a percentage such as 20%",
        "DURATION": "a duration such as 30s",
        "SCOPE": "backend, zone or region",
        "$END": "the end",
    }
    if terminal in kinds:
        return kinds[terminal]
    pattern = next((each.pattern for each in parser.terminals if each.name == terminal), None)
    return f"'{pattern.value}'" if pattern is not None else terminal


class _StatementBuilder(lark.Transformer[Any, Any]):
    """Transforms the parse tree into a statement; its methods are named after grammar rules."""

    def start(self, children: list[Statement]) -> Statement:
        return children[0]

    def query(self, children: list[Subject]) -> Query:
        return Query(children[0])

    def __default__(self, data: str, children: list[Any], meta: object) -> Any:
        return Subject(str(data))

    def shift(self, children: list[lark.Token]) -> ShiftCommand:
        service, source, target = (str(each) for each in children[:3])
        options = {each.type: str(each) for each in children[3:]}
        name = options.get("NAME", f"{service}-{source}-{target}")
        duration = options.get("DURATION")
        return ShiftCommand(
            service=service,
            source=source,
            target=target,
            share=_parse_percentage(options["PERCENT"]),
            slot_cap=int(options.get("NUMBER", "0")),
            ramp_seconds=_DEFAULT_RAMP_SECONDS if duration is None else _parse_seconds(duration),
            name=name,
        )

    def cancel_shift(self, children: list[lark.Token]) -> CancelShiftCommand:
        return CancelShiftCommand(str(children[0]))

    def drain(self, children: list[lark.Token]) -> DrainCommand:
        return DrainCommand(DrainScope(str(children[0])), str(children[1]), undo=False)

    def undrain(self, children: list[lark.Token]) -> DrainCommand:
        return DrainCommand(DrainScope(str(children[0])), str(children[1]), undo=True)

    def cap_link(self, children: list[lark.Token]) -> CapLinkCommand:
        return CapLinkCommand(str(children[0]), str(children[1]), int(children[2]))

    def cap_shift(self, children: list[lark.Token]) -> CapShiftCommand:
        return CapShiftCommand(str(children[0]), int(children[1]))

    def set_class(self, children: list[Any]) -> SetClassCommand:
        return SetClassCommand(str(children[0]), str(children[1]), **children[2])

    def sure(self, children: list[lark.Token]) -> dict[str, float]:
        return {"sure_share": _parse_percentage(children[0])}

    def most(self, children: list[lark.Token]) -> dict[str, float]:
        return {"most_share": _parse_percentage(children[0])}

    def rank(self, children: list[lark.Token]) -> dict[str, int]:
        return {"rank": int(children[0])}

    def set_service(self, children: list[Any]) -> SetServiceCommand:
        return SetServiceCommand(str(children[0]), **children[1])

    def longest_run(self, children: list[lark.Token]) -> dict[str, float]:
        return {"longest_run_seconds": _parse_seconds(children[0])}

    def warm_up(self, children: list[lark.Token]) -> dict[str, float]:
        return {"warm_up_seconds": _parse_seconds(children[0])}

    def set_slots(self, children: list[lark.Token]) -> SetSlotsCommand:
        return SetSlotsCommand(str(children[0]), int(children[1]))


def _parse_percentage(text: str) -> float:
    return float(text.removesuffix("%")) / 100


def _parse_seconds(text: str) -> float:
    return parse_duration(text) or 0.0
