"""The generated reference is the committed one."""

from pathlib import Path

from kitekeel_lab.reference import reference

PAGE = Path(__file__).resolve().parent.parent / "docs" / "REFERENCE.md"


def test_the_reference_is_what_the_code_says() -> None:
    assert PAGE.read_text() == reference()
