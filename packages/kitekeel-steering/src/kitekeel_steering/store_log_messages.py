"""Typed messages for the log lines of a gateway daemon about the store and its view of it."""

from __future__ import annotations

from kitekeel_steering.log_messages import LogMessage


class StoreAnswered(LogMessage, frozen=True):
    """The store returned changes of one part.

    ``call`` is read or watch; ``after`` is the revision after which changes were requested, or
    ``None`` for a read; ``first`` is the lowest revision among the changes and ``revision`` the one
    up to which the answer is complete; ``seconds`` is the time from the call to its answer;
    ``held`` of the ``changes`` are removals that are not applied yet. ``unwatched`` is the time in
    seconds before the call in which nothing watched the part, by which its changes may be older.
    ``era`` counts how often the store was restored from a copy; 0 if it does not say.
    """

    part: str
    call: str
    after: int | None
    first: int
    revision: int
    changes: int
    held: int
    seconds: float
    era: int = 0
    unwatched: float = 0.0


class StoreChangeIgnored(LogMessage, frozen=True):
    """The store reported an item that this daemon considers older than what it knows of it.

    ``revision`` and ``era`` are those of the reported item.
    """

    item: str
    revision: int
    known_revision: int
    era: int = 0
    known_era: int = 0


class StoreEraChanged(LogMessage, frozen=True):
    """The store named another era than before, so it was restored from a copy.

    ``former`` is 0 if it had not named one to this daemon.
    """

    former: int
    era: int


class ViewRestored(LogMessage, frozen=True):
    """A part of the view has entered a later era of the store, which was restored from a copy.

    ``source`` is the store or the peer that this daemon learned the part from; ``revision`` and
    ``former_revision`` are those up to which the part is known in both eras; ``kept`` counts the
    items that are kept although the store lacks them or has older content.
    """

    part: str
    source: str
    former_era: int
    era: int
    former_revision: int
    revision: int
    kept: int


class ItemKept(LogMessage, frozen=True):
    """An item is kept as it was known before the store was restored from a copy.

    ``revision`` and ``era`` are those at which it was recorded. ``store_revision`` is that of the
    older content in the restored store, or ``None`` if it lacks the item.
    """

    item: str
    revision: int
    era: int
    store_revision: int | None
    removed: bool = False


class StoreWatched(LogMessage, frozen=True):
    """The daemon has started or stopped watching the store itself.

    ``is_chosen`` states whether it is one of the daemons that watch for their zone; any other
    daemon only watches while it receives no recent updates from those. A daemon that stops watching
    no longer depends on the store, which ends a loss of the store that it logged before.
    """

    is_watching: bool
    is_chosen: bool
    view_age: float


class HistoryLost(LogMessage, frozen=True):
    """The store no longer has the changes after a revision; the whole part is read again."""

    part: str
    after: int | None


class BeliefsContradicted(LogMessage, frozen=True):
    """Another daemon has different items at the same extent of a part; the part is read again."""

    peer: str
    part: str


class RemovalsHeld(LogMessage, frozen=True):
    """Removals of back ends are withheld briefly; their leases probably expired in an outage.

    They are applied after ``seconds`` unless the back ends are written again meanwhile.
    """

    count: int
    view_age: float
    seconds: float = 0.0


class ViewChanged(LogMessage, frozen=True):
    """An item of the fleet view has changed; ``source`` is the store or a peer.

    ``started_at_ms`` is the start time of a back end by its own clock; ``restarted`` is true for a
    new process under the name of a previous one. ``era`` is that of ``revision``.
    """

    item: str
    revision: int
    source: str
    removed: bool = False
    draining: bool = False
    version: int | None = None
    started_at_ms: int = 0
    restarted: bool = False
    era: int = 0
