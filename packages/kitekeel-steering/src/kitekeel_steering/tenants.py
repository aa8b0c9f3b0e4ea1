"""Tenants: whose request it is, by the API key that a caller sends with it.

Keys are turned into digests where a configuration or a request is read. The keys themselves are
never kept, logged or passed on.
"""

from __future__ import annotations

import hmac
from collections.abc import Iterable
from hashlib import blake2b

import msgspec

from kitekeel_steering.proxied_messages import RawHeaders

AUTHORIZATION = b"authorization"
_SCHEME = b"bearer"
_DIGEST_BYTES = 16
_DIGEST_PURPOSE = b"kitekeel-api-key"
_FINGERPRINT_CHARACTERS = 8
_LONGEST_KEY_BYTES = 1024
_NO_DIGEST = bytes(_DIGEST_BYTES)


class Tenant(msgspec.Struct, frozen=True):
    """A customer whose requests are admitted by its API keys.

    Attributes:
        key_digests: digests of the keys that are valid at present.
        priority: rank of its requests, 0 for the most urgent; ``None`` for the route's.
        rate: requests a second that all daemons together admit; 0 for no limit.
        burst: requests beyond the rate that may come at once.
        home_regions: the only regions that may serve it; empty for all.
    """

    name: str
    key_digests: tuple[bytes, ...] = ()
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0
    home_regions: tuple[str, ...] = ()


class Caller(msgspec.Struct, frozen=True):
    """Whose request it is.

    Attributes:
        tenant: ``None`` for a request that needs no key and has no valid one.
        is_known: whether the request may be served.
        hides_key: whether the API key must be kept from the back end.
        fingerprint: tells people which key was sent, without telling the key; empty for none.
    """

    tenant: Tenant | None = None
    is_known: bool = True
    hides_key: bool = False
    fingerprint: str = ""


_ANYBODY = Caller()


def key_digest(key: bytes) -> bytes:
    """Return what stands for an API key in configurations and look-ups."""
    return blake2b(key, digest_size=_DIGEST_BYTES, person=_DIGEST_PURPOSE).digest()


class TenantDirectory:
    """Finds the tenant of a request.

    Args:
        tenants: all tenants of a configuration; no key belongs to two of them.
    """

    def __init__(self, tenants: Iterable[Tenant]) -> None:
        self._tenants = {each.name: each for each in tenants}
        self._by_digest = {
            digest: (digest, each) for each in self._tenants.values() for digest in each.key_digests
        }

    def priorities(self) -> frozenset[int]:
        """Return the priorities that tenants have of their own."""
        return frozenset(
            each.priority for each in self._tenants.values() if each.priority is not None
        )

    def find(self, name: str) -> Tenant | None:
        """Return a tenant by its name."""
        return self._tenants.get(name)

    def all(self) -> list[Tenant]:
        """Return every tenant."""
        return list(self._tenants.values())

    def identify(self, headers: RawHeaders, needs_key: bool) -> Caller:
        """Return whose request it is.

        A valid key names its tenant also where none is needed.

        Args:
            headers: the request's headers.
            needs_key: whether requests without a valid key are refused.
        """
        if not self._tenants:
            return _ANYBODY
        key = _bearer_key(headers)
        if key is None:
            return Caller(is_known=not needs_key, hides_key=True)
        digest = key_digest(key)
        known_digest, tenant = self._by_digest.get(digest, (_NO_DIGEST, None))
        # Digests are compared as a whole, so that the time taken tells nothing about known keys.
        is_valid = hmac.compare_digest(digest, known_digest)
        fingerprint = digest.hex()[:_FINGERPRINT_CHARACTERS]
        if not is_valid:
            return Caller(is_known=not needs_key, hides_key=True, fingerprint=fingerprint)
        return Caller(tenant, hides_key=True, fingerprint=fingerprint)


def allowed_regions(route_homes: tuple[str, ...], tenant: Tenant | None) -> tuple[str, ...] | None:
    """Return the regions that may serve a request, empty for all.

    Homes of the route and of the tenant both bind; ``None`` where they have no region in common.
    """
    tenant_homes = tenant.home_regions if tenant is not None else ()
    if not route_homes or not tenant_homes:
        return tuple(sorted(route_homes or tenant_homes))
    return tuple(sorted(set(route_homes) & set(tenant_homes))) or None


def _bearer_key(headers: RawHeaders) -> bytes | None:
    """Return the API key of a request; ``None`` unless it states exactly one, well-formed."""
    values = [value for name, value in headers if name.lower() == AUTHORIZATION]
    if len(values) != 1:
        return None
    parts = values[0].split()
    if len(parts) != 2 or parts[0].lower() != _SCHEME:
        return None
    key = parts[1]
    return key if len(key) <= _LONGEST_KEY_BYTES else None
