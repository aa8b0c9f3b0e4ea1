"""Tenants, which are identified by the API key in a request.

Keys are replaced by digests when a configuration or a request is read. The keys themselves are
never stored, logged or forwarded.
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
_MAX_KEY_BYTES = 1024
_NO_DIGEST = bytes(_DIGEST_BYTES)


class Tenant(msgspec.Struct, frozen=True):
    """A customer that is authenticated by API keys.

    Attributes:
        key_digests: digests of the currently valid keys.
        priority: rank of its requests, 0 for the most urgent; ``None`` to use the route's.
        rate: requests per second that all daemons together admit; 0 for no limit.
        burst: requests beyond the rate that may arrive at once.
        home_regions: the only regions that may serve its requests; empty for all.
    """

    name: str
    key_digests: tuple[bytes, ...] = ()
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0
    home_regions: tuple[str, ...] = ()


class Caller(msgspec.Struct, frozen=True):
    """The result of identifying the caller of a request.

    Attributes:
        tenant: the tenant, or ``None`` if the request has no valid key.
        is_known: whether the request may be served.
        hides_key: whether the API key must not be forwarded to the back end.
        fingerprint: lets operators recognise the key that was sent without revealing it; empty if
            none was sent.
    """

    tenant: Tenant | None = None
    is_known: bool = True
    hides_key: bool = False
    fingerprint: str = ""


_ANONYMOUS = Caller()


def key_digest(key: bytes) -> bytes:
    """Return the digest that represents an API key in configurations and look-ups."""
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
        """Return the priorities that are set for tenants."""
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
        """Identify the caller of a request.

        A valid key identifies its tenant even if no key is required.

        Args:
            headers: the request's headers.
            needs_key: whether requests without a valid key are refused.
        """
        if not self._tenants:
            return _ANONYMOUS
        key = _bearer_key(headers)
        if key is None:
            return Caller(is_known=not needs_key, hides_key=True)
        digest = key_digest(key)
        known_digest, tenant = self._by_digest.get(digest, (_NO_DIGEST, None))
        # A constant-time comparison, so that its duration reveals nothing about known keys.
        is_valid = hmac.compare_digest(digest, known_digest)
        fingerprint = digest.hex()[:_FINGERPRINT_CHARACTERS]
        if not is_valid:
            return Caller(is_known=not needs_key, hides_key=True, fingerprint=fingerprint)
        return Caller(tenant, hides_key=True, fingerprint=fingerprint)


def allowed_regions(route_homes: tuple[str, ...], tenant: Tenant | None) -> tuple[str, ...] | None:
    """Return the regions that may serve a request; empty for all.

    The home regions of the route and of the tenant both apply. Returns ``None`` if they have no
    region in common.
    """
    tenant_homes = tenant.home_regions if tenant is not None else ()
    if not route_homes or not tenant_homes:
        return tuple(sorted(route_homes or tenant_homes))
    return tuple(sorted(set(route_homes) & set(tenant_homes))) or None


def _bearer_key(headers: RawHeaders) -> bytes | None:
    """Return the API key of a request, or ``None`` unless it has exactly one, well-formed."""
    values = [value for name, value in headers if name.lower() == AUTHORIZATION]
    if len(values) != 1:
        return None
    parts = values[0].split()
    if len(parts) != 2 or parts[0].lower() != _SCHEME:
        return None
    key = parts[1]
    return key if len(key) <= _MAX_KEY_BYTES else None
