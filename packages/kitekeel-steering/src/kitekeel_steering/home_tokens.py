"""Home tokens: MAC-protected names of the daemon instance that alone may run a key."""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac

import msgspec

from kitekeel_steering.errors import IdempotencyKeyInvalidError

_MAC_BYTES = 12
_SEPARATOR = "."


class HomeToken(msgspec.Struct, frozen=True, array_like=True):
    """The home of a key.

    Attributes:
        instance: the daemon instance; every process start has a new one.
        expires_at: wall-clock time of expiry, in seconds since 1970.
    """

    instance: str
    expires_at: int


class HomeTokenSigner:
    """Signs and verifies home tokens with a secret that all daemons share."""

    def __init__(self, secret: bytes) -> None:
        self._secret = secret

    def sign(self, token: HomeToken) -> str:
        """Return the token as URL-safe text."""
        payload = msgspec.msgpack.encode(token)
        return _to_text(self._mac(payload) + payload)

    def verify(self, text: str) -> HomeToken:
        """Return the token in the text.

        Raises:
            IdempotencyKeyInvalidError: the token is malformed or its MAC does not match.
        """
        try:
            raw = base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
            mac, payload = raw[:_MAC_BYTES], raw[_MAC_BYTES:]
            if not hmac.compare_digest(mac, self._mac(payload)):
                raise IdempotencyKeyInvalidError("the MAC of the home token does not match")
            return msgspec.msgpack.decode(payload, type=HomeToken)
        except (binascii.Error, ValueError, msgspec.DecodeError) as error:
            raise IdempotencyKeyInvalidError("the home token is malformed") from error

    def _mac(self, payload: bytes) -> bytes:
        return hmac.digest(self._secret, payload, hashlib.sha256)[:_MAC_BYTES]


def split_key(key: str) -> tuple[str, str]:
    """Return the home token and the caller's part of an ``Idempotency-Key``.

    The token is empty if the key has none.
    """
    token, separator, own_part = key.partition(_SEPARATOR)
    return (token, own_part) if separator else ("", key)


def join_key(token: str, own_part: str) -> str:
    """Return the ``Idempotency-Key`` made of a home token and the caller's part."""
    return f"{token}{_SEPARATOR}{own_part}"


def _to_text(raw: bytes) -> str:
    return base64.urlsafe_b64encode(raw).decode().rstrip("=")
