"""Draws messages of any type that daemons exchange, with values that no daemon would send."""

import enum
import types
import typing
from typing import Any

import msgspec
from hypothesis import strategies as st

_MIN_INTEGER, _MAX_INTEGER = -(1 << 63), (1 << 64) - 1
_ODD_INTEGERS = [0, 1, -1, _MIN_INTEGER, _MAX_INTEGER, 1 << 53]
_ODD_TEXTS = ["", "\x00", "127.0.0.1:1", "[::1]:99999", "a" * 300, "é\n", "north", "search"]
_MAX_ITEMS = 4


def values_of(wanted: Any) -> st.SearchStrategy[Any]:
    """Return a strategy for values of a type that messages are built of.

    Raises:
        TypeError: no message has such a field so far.
    """
    if isinstance(wanted, type) and issubclass(wanted, enum.Enum):
        return st.sampled_from(list(wanted))
    if isinstance(wanted, type) and issubclass(wanted, msgspec.Struct):
        return _structs(wanted)
    origin, arguments = typing.get_origin(wanted), typing.get_args(wanted)
    if isinstance(origin, type) and issubclass(origin, msgspec.Struct):
        return _generic_structs(origin, arguments)
    if origin in (typing.Union, types.UnionType):
        return st.one_of([values_of(each) for each in arguments])
    if origin is tuple and arguments[-1] is not Ellipsis:
        return st.tuples(*(values_of(each) for each in arguments))
    if origin in (tuple, list, frozenset, set):
        return st.lists(values_of(arguments[0]), max_size=_MAX_ITEMS).map(origin)
    if origin is dict:
        return st.dictionaries(*(values_of(each) for each in arguments), max_size=_MAX_ITEMS)
    return _plain(wanted)


def _structs(wanted: type[msgspec.Struct]) -> st.SearchStrategy[Any]:
    hints = typing.get_type_hints(wanted)
    return st.builds(wanted, **{name: values_of(hints[name]) for name in wanted.__struct_fields__})


def _generic_structs(
    wanted: type[msgspec.Struct], arguments: tuple[Any, ...]
) -> st.SearchStrategy[Any]:
    hints = typing.get_type_hints(wanted)
    filled = {
        name: hints[name][arguments] if getattr(hints[name], "__parameters__", ()) else hints[name]
        for name in wanted.__struct_fields__
    }
    return st.builds(wanted, **{name: values_of(each) for name, each in filled.items()})


def _plain(wanted: Any) -> st.SearchStrategy[Any]:
    if wanted is bool:
        return st.booleans()
    if wanted is int:
        any_integer = st.integers(_MIN_INTEGER, _MAX_INTEGER)
        return st.one_of(st.sampled_from(_ODD_INTEGERS), st.integers(0, 9), any_integer)
    if wanted is float:
        return st.floats()
    if wanted is str:
        return st.one_of(st.sampled_from(_ODD_TEXTS), st.text(max_size=20))
    if wanted is bytes:
        return st.binary(max_size=40)
    if wanted is type(None):
        return st.none()
    raise TypeError(f"no values of {wanted!r}")
