"""Graceful shutdown of a daemon: finishes requests in flight and hands over idempotency keys."""

from __future__ import annotations

import time

from kitekeel_daemon.daemon import Daemon
from kitekeel_peers.messages import MemberPhase, MemberRecord
from kitekeel_steering.rendezvous import rank_nodes

_PROPAGATION_SECONDS = 2.0
_LINGER_SECONDS = 1.5
_MAX_DRAIN_SECONDS = 330.0
_HANDOVER_TRIES = 3


class PlannedStop:
    """Executes the steps of a planned stop."""

    def __init__(self, daemon: Daemon) -> None:
        self._daemon = daemon
        self._running_keys: frozenset[str] = frozenset()

    def run(self) -> None:
        """Leave the look-ups, hand over the keys, finish the requests in flight, and stop."""
        self._withdraw_from_lookups()
        successor = self._hand_over_keys()
        self._finish_requests(successor)
        self._leave_cluster()

    def _withdraw_from_lookups(self) -> None:
        """Withdraw from look-up answers, serve until cached ones expire, and resign as keeper."""
        self._daemon.recorder.add("daemon-leaving", "no longer named in look-ups")
        self._daemon.membership.announce_phase(MemberPhase.LEAVING)
        time.sleep(self._daemon.settings.callers.max_age_seconds + _PROPAGATION_SECONDS)
        self._daemon.keeper.resign_all()

    def _hand_over_keys(self) -> MemberRecord | None:
        """Send all keys to another daemon; from then on this daemon relays requests to it.

        Keys whose requests are still running stay marked as running here until those have ended.
        """
        exported = self._daemon.key_table.close_and_export()
        self._running_keys = exported.running
        records = exported.records
        for successor in self._successors()[:_HANDOVER_TRIES]:
            if self._daemon.handover.send(successor, records):
                self._daemon.membership.announce_successor(successor.instance)
                text = f"{len(records)} keys to {successor.instance}"
                self._daemon.recorder.add("keys-handed-over", text)
                return successor
        self._daemon.recorder.add("keys-not-handed-over", f"{len(records)} keys are lost")
        return None

    def _finish_requests(self, successor: MemberRecord | None) -> None:
        """Wait for all requests in flight, then send the successor the final state of the keys."""
        finished = self._daemon.in_flight.wait_until_idle(_MAX_DRAIN_SECONDS)
        if successor is not None:
            ended = self._daemon.key_table.export_ended(self._running_keys)
            self._daemon.handover.send(successor, ended)
        text = "all requests finished" if finished else "timed out waiting for requests in flight"
        self._daemon.recorder.add("daemon-finished", text)

    def _leave_cluster(self) -> None:
        """Announce the departure, keep serving briefly while it spreads, and stop."""
        self._daemon.membership.announce_left()
        time.sleep(_LINGER_SECONDS)
        self._daemon.in_flight.wait_until_idle(_LINGER_SECONDS)
        self._daemon.stop_loops()

    def _successors(self) -> list[MemberRecord]:
        """Return the daemons that can take the keys, those of the own zone and region first."""
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
