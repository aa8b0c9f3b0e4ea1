"""Shipped samples have no findings; hostile text gives findings and never another error."""

from importlib import resources

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kitekeel_operators.language import LanguageError, parse_statement
from kitekeel_steering.configuration_text import parse_configuration
from kitekeel_steering.errors import IdempotencyKeyInvalidError
from kitekeel_steering.findings import FindingsError
from kitekeel_steering.home_tokens import HomeToken, HomeTokenSigner, join_key, split_key
from kitekeel_steering.settings import is_settings_text, parse_settings

SAMPLES = resources.files("kitekeel_lab").joinpath("samples")
SIZES = {"catalogue.ini": (45, 12), "device-lab.ini": (40, 11)}
INI_TEXT = st.lists(
    st.sampled_from(
        [
            "[daemon]",
            "[callers]",
            "[region a]",
            "[link a b]",
            "[service s]",
            "[class s/c]",
            "[backend b]",
            "zones = z1, z2",
            "zone = z1",
            "rank = 0",
            "sure_share = nan",
            "longest_run = 5s",
            "slots = 99999999999999999999",
            "address = [::1]:80",
            "address = 1.2.3.4:99999",
            "entry_machines = 4",
            "= x",
            "x",
            "[",
            "\x00",
        ]
    )
    | st.text(max_size=30),
    max_size=25,
).map("\n".join)

STATEMENT_TEXT = "shift search from a to by 20% cap 5 over 3s drain zone / set x"
STATEMENT_WORDS = STATEMENT_TEXT.split()


@pytest.mark.parametrize("name", sorted(each.name for each in SAMPLES.iterdir()))
def test_a_shipped_sample_has_no_findings(name: str) -> None:
    text = SAMPLES.joinpath(name).read_text()
    if is_settings_text(text):
        assert parse_settings(text, name).daemon.place >= 1
        return
    configuration = parse_configuration(text, name)
    machines = sum(region.entry_machines for region in configuration.regions)
    assert (len(configuration.back_ends), machines) == SIZES[name]


@given(INI_TEXT)
def test_any_configuration_text_is_accepted_or_has_findings(text: str) -> None:
    try:
        parse_configuration(text, "fuzzed")
    except FindingsError as error:
        assert error.findings
        assert all(each.line >= 0 and each.code and each.allowed for each in error.findings)


@given(INI_TEXT)
def test_any_settings_text_is_accepted_or_has_findings(text: str) -> None:
    try:
        parse_settings(text, "fuzzed")
    except FindingsError as error:
        assert error.findings


@given(
    st.lists(
        st.sampled_from(STATEMENT_WORDS) | st.text(max_size=8),
        max_size=12,
    ).map(" ".join)
)
def test_any_statement_is_accepted_or_names_its_column(text: str) -> None:
    try:
        parse_statement(text)
    except LanguageError as error:
        assert 1 <= error.column <= len(text) + 1
        assert error.expected


@given(st.text(min_size=1, max_size=40), st.integers(0, 2**40), st.text(max_size=30))
def test_a_home_token_comes_back_and_no_other_text_passes(
    instance: str, expires_at: int, noise: str
) -> None:
    signer = HomeTokenSigner(b"a secret of all daemons")
    text = signer.sign(HomeToken(instance, expires_at))
    assert signer.verify(text) == HomeToken(instance, expires_at)
    assert split_key(join_key(text, "own.part")) == (text, "own.part")
    with pytest.raises(IdempotencyKeyInvalidError):
        HomeTokenSigner(b"another secret").verify(text)
    if noise != text:
        with pytest.raises(IdempotencyKeyInvalidError):
            signer.verify(noise)
