"""Tells whether the callers of other regions ask for the same objects as those of the own one.

Where they do, a region that kept a copy of its own of each object would need as many copies as
there are regions, and caches would hold few of them. Daemons send each other samples of the objects
that they were asked for lately. How many of a sample a daemon knows depends on how many requests
each of them gets, so samples of other regions are held against those of the own region.

Guards against caches that never warm up: with more shared objects than a region's back ends keep,
0.05 to 0.2 of the requests were answered in time for as long as each region kept its own copies,
and 0.6 to 0.86 some seconds after one list served all regions (three regions, one run).
"""

from __future__ import annotations

import random
from collections import OrderedDict, defaultdict
from collections.abc import Callable

import msgspec
import xxhash

from kitekeel_steering.clock import Clock

# Objects count as asked for so long: a few times what a key usually waits for its next request.
_MEMORY_SECONDS = 30.0
# Objects of a service; 0.6 MB. The deployments known have 30 to 400 in a region.
_MOST_OBJECTS = 4_096
# A message of four services has 215 bytes (encoded), and each daemon sends one in two seconds.
_SAMPLE_SIZE = 8
_MOST_SERVICES = 4
# One object of three or fewer moves the share by more than the two thresholds are apart.
_LEAST_SAMPLE = 4
# A change goes through with about eight samples; the share of one strays by 0.15, smoothed by 0.06.
_SMOOTHING = 0.3
# Callers who move to another region for a while take their objects along: a share below a half.
_SHARED_FROM = 0.6
_APART_FROM = 0.4


class ObjectSample(msgspec.Struct, frozen=True, array_like=True):
    """Some of the objects of a service that a daemon was asked for lately, by hash."""

    service: str
    hashes: tuple[int, ...]


class _ServiceOverlap:
    """What is known of one service's objects."""

    def __init__(self) -> None:
        self.asked_at: OrderedDict[int, float] = OrderedDict()
        # As where regions ask for objects of their own: the first sample must not decide alone.
        self.known_share_near = 1.0
        self.known_share_far = 0.0
        self.is_shared = False

    def forget(self, now: float) -> None:
        while self.asked_at and next(iter(self.asked_at.values())) < now - _MEMORY_SECONDS:
            self.asked_at.popitem(last=False)

    def note_asked(self, hashed: int, now: float) -> None:
        self.asked_at[hashed] = now
        self.asked_at.move_to_end(hashed)
        if len(self.asked_at) > _MOST_OBJECTS:
            self.asked_at.popitem(last=False)

    def note_share(self, known_share: float, is_near: bool) -> None:
        if is_near:
            self.known_share_near = _smoothed(self.known_share_near, known_share)
        else:
            self.known_share_far = _smoothed(self.known_share_far, known_share)

    def known_share(self) -> float:
        """Return the part of far objects that is known here, against that of near ones."""
        near = self.known_share_near
        return self.known_share_far / near if near > 0.0 else 0.0


class ObjectOverlap:
    """The observations of one daemon; used on one thread.

    Args:
        clock: times the requests.
        generator: draws the samples.
        on_change: called with a service, whether its objects are shared from now on, and the part
            of other regions' objects that decided it.
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
        """Return some objects of the services that were asked for most objects."""
        now = self._clock.monotonic()
        for each in self._services.values():
            each.forget(now)
        most = sorted(self._services, key=lambda name: -len(self._services[name].asked_at))
        return tuple(self._sample_of(name) for name in most[:_MOST_SERVICES])

    def note_sample(self, samples: tuple[ObjectSample, ...], is_near: bool) -> None:
        """Count another daemon's sample.

        Args:
            samples: what it was asked for lately.
            is_near: whether it is in the own region.
        """
        for sample in samples:
            overlap = self._services.get(sample.service)
            if overlap is None or len(sample.hashes) < _LEAST_SAMPLE:
                continue
            known = sum(each in overlap.asked_at for each in sample.hashes) / len(sample.hashes)
            overlap.note_share(known, is_near)
            self._decide(sample.service, overlap)

    def is_shared(self, service: str) -> bool:
        """Tell whether other regions ask for most of the objects that the own one asks for."""
        overlap = self._services.get(service)
        return overlap is not None and overlap.is_shared

    def _decide(self, service: str, overlap: _ServiceOverlap) -> None:
        known_share = overlap.known_share()
        is_shared = known_share >= (_APART_FROM if overlap.is_shared else _SHARED_FROM)
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
