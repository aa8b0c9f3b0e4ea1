"""Claims of idempotency keys that name no home: create-if-absent at the platform.

The first daemon to create the claim is the key's home. A claim whose answer was lost is read back:
it names the home, this instance or another. Two attempts at one instance may both find themselves
its home; the key table there lets one of them run. Claims cost writes, of which the platform bears
some hundred a second; callers that use home tokens need none.
"""

from __future__ import annotations

import hashlib

import msgspec

from kitekeel_platform.client import PlatformClient, read_document
from kitekeel_steering.errors import (
    ClaimFailedError,
    PlatformError,
    WriteOutcomeUnknownError,
)

_READ_BACK_TRIES = 3


class KeyClaim(msgspec.Struct, frozen=True):
    """Who is the home of a key."""

    instance: str


class KeyClaims:
    """Claims keys for one daemon instance.

    Args:
        client: the platform.
        instance: this process start.
        life_seconds: how long a claim lasts; a repeat after that is not recognised, so it must be
            longer than any caller repeats.
    """

    def __init__(self, client: PlatformClient, instance: str, life_seconds: float) -> None:
        self._client = client
        self._instance = instance
        self._life_seconds = life_seconds

    def claim(self, key: str) -> str:
        """Return the instance that is the key's home, claiming it for this one if it has none.

        Raises:
            ClaimFailedError: the platform does not tell who the home is; nothing may be run.
        """
        name = f"kitekeel/keys/{hashlib.sha256(key.encode()).hexdigest()}"
        claim = KeyClaim(self._instance)
        try:
            written = self._client.write(name, msgspec.json.encode(claim), 0, self._life_seconds)
            if written is not None:
                return self._instance
        except WriteOutcomeUnknownError:
            pass
        except PlatformError as error:
            raise ClaimFailedError("the key could not be claimed", 1.0) from error
        return self._read_home(name)

    def _read_home(self, name: str) -> str:
        for _ in range(_READ_BACK_TRIES):
            try:
                found = self._client.read(name)
                if found.version:
                    return read_document(found.value, KeyClaim).instance
            except PlatformError:
                continue
        # With no claim to be read, the lost write may still take effect. It then names this
        # instance, which has not begun the key, so refusing it as not run is true.
        raise ClaimFailedError("the platform does not tell who claimed the key", 1.0)
