"""Nothing outside ``platform/`` knows the platform's words, and the folder stays small."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
MAX_LINES = 1500
# Header names, paths, keys and fields of the platform's pages.
WORDS = [
    r"request-id(?<!kitekeel-request-id)",
    r"request-deadline",
    r"target-instance(?<!kitekeel-target-instance)",
    r"instance-id",
    r"not-executed",
    r"server-load",
    r"server-seal",
    r"cold-remaining",
    r"cold_remaining",
    r"affinity-key",
    r"kv-(key|range|watch|txn|lease|keep)",
    r"path_prefix=|wait_ms|expected_rev|ttl_time",
    r"op/(config|evacuate)",
    r"/resolve|/readiness",
    r"traffic_split|home_regions\"|max_conns|warmup_per_s|entry_kind",
    r"KITEKEEL_CONFIG",
]
SOURCES = [
    each
    for folder in ("packages", "features")
    for each in sorted((ROOT / folder).rglob("*.py"))
    if "egg-info" not in str(each)
]


@pytest.mark.parametrize("word", WORDS)
def test_the_products_sources_do_not_name_the_platforms_words(word: str) -> None:
    pattern = re.compile(word, re.IGNORECASE)
    found = [
        f"{path.relative_to(ROOT)}:{number}: {line.strip()}"
        for path in SOURCES
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if pattern.search(line)
    ]
    assert not found


def test_the_adapter_stays_small_and_shadows_no_module() -> None:
    files = [each for each in (ROOT / "platform").rglob("*.py") if "tests" not in each.parts]
    assert sum(len(each.read_text().splitlines()) for each in files) < MAX_LINES
    assert not (ROOT / "platform" / "__init__.py").exists()
