"""Detects whether callers of other regions request the same objects as those of the own region.

If they do and each region cached its own copy, there would be as many copies of each object as
regions, and the caches would hold few distinct objects. Daemons send each other samples of recently
requested objects. The share of a sample that a daemon knows depends on the request rates of both
daemons, so samples from other regions are compared with samples from the own region.

This prevents caches that never warm up: with more shared objects than a region's back ends can
cache, 0.05 to 0.2 of the requests were answered in time while each region kept its own copies, and
0.6 to 0.86 a few seconds after all regions used the same lists (three regions, one run).
"""

from __future__ import annotations

import random
from collections import OrderedDict, defaultdict
from collections.abc import Callable

import msgspec
import xxhash

from kitekeel_steering.clock import Clock

# How long an object is remembered after a request: a few times the usual interval between two
# requests for the same key.
_RETENTION_SECONDS = 30.0
# Remembered objects of a service; 0.6 MB. Known deployments have 30 to 400 in a region.
_MAX_OBJECTS = 4_096
# An encoded message of four services takes 215 bytes; each daemon sends one every two seconds.
_SAMPLE_SIZE = 8
_MAX_SAMPLED_SERVICES = 4
# In a sample of three or fewer, a single object changes the share by more than the distance between
# the two thresholds.
_MIN_SAMPLE_SIZE = 4
# A change takes effect after about eight samples. The share of a single sample deviates by 0.15,
# the smoothed share by 0.06.
_SMOOTHING = 0.3
# Callers that move to another region temporarily request the same objects there; the share that
# this causes is below one half.
_SHARED_THRESHOLD = 0.6
_SEPARATE_THRESHOLD = 0.4


class ObjectSample(msgspec.Struct, frozen=True, array_like=True):
    """Hashes of some objects of a service that a daemon was recently asked for."""

    service: str
    hashes: tuple[int, ...]


class _ServiceOverlap:
    """The state of one service."""

    def __init__(self) -> None:
        self.asked_at: OrderedDict[int, float] = OrderedDict()
        # As if regions requested distinct objects: the first sample must not decide alone.
        self.known_share_near = 1.0
        self.known_share_far = 0.0
        self.is_shared = False

    def forget(self, now: float) -> None:
        while self.asked_at and next(iter(self.asked_at.values())) < now - _RETENTION_SECONDS:
            self.asked_at.popitem(last=False)

    def note_asked(self, hashed: int, now: float) -> None:
        self.asked_at[hashed] = now
        self.asked_at.move_to_end(hashed)
        if len(self.asked_at) > _MAX_OBJECTS:
            self.asked_at.popitem(last=False)

    def note_share(self, known_share: float, is_near: bool) -> None:
        if is_near:
            self.known_share_near = _smoothed(self.known_share_near, known_share)
        else:
            self.known_share_far = _smoothed(self.known_share_far, known_share)

    def known_share(self) -> float:
        """Return the known share of other regions' objects relative to that of the own region's."""
        near = self.known_share_near
        return self.known_share_far / near if near > 0.0 else 0.0


class ObjectOverlap:
    """The observations of one daemon; used on one thread.

    Args:
        clock: provides the time of requests.
        generator: draws the samples.
        on_change: called with a service, whether its objects are now shared, and the known share
            of other regions' objects that led to the decision.
    """

    def __init__(
        self,
        clock: Clock,
        generator: random.Random,
        on_change: Callable[[str, bool, float], None],
    ) -> None:
        self._on_change = on_change
        self._clock = clock
        self._random = generator
        self._services: dict[str, _ServiceOverlap] = defaultdict(_ServiceOverlap)

    def note_asked(self, service: str, key: str) -> None:
        """Count a request for an object."""
        hashed = xxhash.xxh32_intdigest(key.encode())
        self._services[service].note_asked(hashed, self._clock.monotonic())

    def sample(self) -> tuple[ObjectSample, ...]:
        """Return samples of the services with the most recently requested objects."""
        now = self._clock.monotonic()
        for each in self._services.values():
            each.forget(now)
        most = sorted(self._services, key=lambda name: -len(self._services[name].asked_at))
        return tuple(self._sample_of(name) for name in most[:_MAX_SAMPLED_SERVICES])

    def note_sample(self, samples: tuple[ObjectSample, ...], is_near: bool) -> None:
        """Evaluate another daemon's samples.

        Args:
            samples: objects that it was recently asked for.
            is_near: whether that daemon is in the own region.
        """
        for sample in samples:
            overlap = self._services.get(sample.service)
            if overlap is None or len(sample.hashes) < _MIN_SAMPLE_SIZE:
                continue
            known = sum(each in overlap.asked_at for each in sample.hashes) / len(sample.hashes)
            overlap.note_share(known, is_near)
            self._decide(sample.service, overlap)

    def is_shared(self, service: str) -> bool:
        """Return whether other regions request most of the objects that the own one requests."""
        overlap = self._services.get(service)
        return overlap is not None and overlap.is_shared

    def _decide(self, service: str, overlap: _ServiceOverlap) -> None:
        known_share = overlap.known_share()
        is_shared = known_share >= (_SEPARATE_THRESHOLD if overlap.is_shared else _SHARED_THRESHOLD)
        if is_shared is overlap.is_shared:
            return
        overlap.is_shared = is_shared
        self._on_change(service, is_shared, known_share)

    def _sample_of(self, service: str) -> ObjectSample:
        hashes = list(self._services[service].asked_at)
        count = min(_SAMPLE_SIZE, len(hashes))
        return ObjectSample(service, tuple(self._random.sample(hashes, count)))


def _smoothed(before: float, value: float) -> float:
    return before + _SMOOTHING * (value - before)
