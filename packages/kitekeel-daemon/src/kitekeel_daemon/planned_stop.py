"""The planned stop of a daemon: nothing in flight is cut, and its keys are still answered for."""

from __future__ import annotations

import time

from kitekeel_daemon.daemon import Daemon
from kitekeel_peers.messages import MemberPhase, MemberRecord
from kitekeel_steering.rendezvous import rank_nodes

_NEWS_SECONDS = 2.0
_LINGER_SECONDS = 1.5
_LONGEST_DRAIN_SECONDS = 330.0
_HANDOVER_TRIES = 3


class PlannedStop:
    """Carries a planned stop out, step by step."""

    def __init__(self, daemon: Daemon) -> None:
        self._daemon = daemon
        self._running: frozenset[str] = frozenset()

    def run(self) -> None:
        """Leave, hand over, finish, and end."""
        self._leave()
        successor = self._hand_over_keys()
        self._finish(successor)
        self._end()

    def _leave(self) -> None:
        """Leave the look-ups' answers, and serve on until every cached one has expired."""
        self._daemon.recorder.add("daemon-leaving", "no longer named in look-ups")
        self._daemon.membership.announce_phase(MemberPhase.LEAVING)
        time.sleep(self._daemon.settings.callers.max_age_seconds + _NEWS_SECONDS)
        self._daemon.keeper.resign_all()

    def _hand_over_keys(self) -> MemberRecord | None:
        """Give all keys to another daemon; from then on this one relays to it.

        The keys that are still running stay marked as running here until they have ended.
        """
        exported = self._daemon.key_table.close_and_export()
        self._running = exported.running
        records = exported.records
        for successor in self._successors()[:_HANDOVER_TRIES]:
            if self._daemon.handover.send(successor, records):
                self._daemon.membership.announce_successor(successor.instance)
                text = f"{len(records)} keys to {successor.instance}"
                self._daemon.recorder.add("keys-handed-over", text)
                return successor
        self._daemon.recorder.add("keys-not-handed-over", f"{len(records)} keys are lost")
        return None

    def _finish(self, successor: MemberRecord | None) -> None:
        """Wait for all requests in flight, then tell the successor how the last keys ended."""
        finished = self._daemon.in_flight.wait_until_none(_LONGEST_DRAIN_SECONDS)
        if successor is not None:
            ended = self._daemon.key_table.export_ended(self._running)
            self._daemon.handover.send(successor, ended)
        text = "all requests finished" if finished else "gave up waiting for requests"
        self._daemon.recorder.add("daemon-finished", text)

    def _end(self) -> None:
        """Tell the others, stay a little for those that have not heard, and stop."""
        self._daemon.membership.announce_left()
        time.sleep(_LINGER_SECONDS)
        self._daemon.in_flight.wait_until_none(_LINGER_SECONDS)
        self._daemon.stop_loops()

    def _successors(self) -> list[MemberRecord]:
        """Return daemons that could take the keys, those of the own zone first."""
        own = self._daemon.membership.table.own()
        records = {
            each.instance: each
            for each in self._daemon.membership.table.live()
            if each.instance != own.instance and each.is_serving
        }
        ranked = rank_nodes(own.instance, records)
        return sorted(
            (records[name] for name in ranked),
            key=lambda each: (each.zone != own.zone, each.region != own.region),
        )
