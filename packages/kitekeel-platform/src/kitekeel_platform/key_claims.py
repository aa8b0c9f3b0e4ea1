"""Claims idempotency keys that name no home by a create-if-absent write at the platform.

The first daemon to create the claim is the key's home. If the answer to the write is lost, the
claim is read back; it names the home, which is this instance or another. Two attempts at one
instance may both get that instance as the home; its key table lets only one of them run. Each claim
costs a write, and the platform sustains a few hundred writes a second; callers that use home
tokens need no claims.
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

_READ_BACK_ATTEMPTS = 3


class KeyClaim(msgspec.Struct, frozen=True):
    """The stored claim: the instance that is the home of a key."""

    instance: str


class KeyClaims:
    """Claims keys for one daemon instance.

    Args:
        client: client of the platform.
        instance: id of this daemon instance, new at each start of the process.
        life_seconds: lifetime of a claim. Later repeats are not recognised, so it must exceed the
            time during which callers repeat requests.
    """

    def __init__(self, client: PlatformClient, instance: str, life_seconds: float) -> None:
        self._client = client
        self._instance = instance
        self._life_seconds = life_seconds

    def claim(self, key: str) -> str:
        """Return the instance that is the key's home; claim the key for this one if it has none.

        Raises:
            ClaimFailedError: the home could not be determined; the request must not be run.
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
        for _ in range(_READ_BACK_ATTEMPTS):
            try:
                found = self._client.read(name)
                if found.version:
                    return read_document(found.value, KeyClaim).instance
            except PlatformError:
                continue
        # If no claim could be read, the write may still take effect. The claim then names this
        # instance, which has not started the request, so reporting it as not run is correct.
        raise ClaimFailedError("the platform did not return who claimed the key", 1.0)
