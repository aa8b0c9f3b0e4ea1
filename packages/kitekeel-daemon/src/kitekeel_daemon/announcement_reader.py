"""Reads what back ends announce about themselves in the heads of their answers.

A back end announces that it is about to stop, or requests a pause with status 503 and
``Retry-After``. Each head is read as soon as it arrives, before the rest of the answer.
"""

from __future__ import annotations

from http import HTTPStatus

from kitekeel_daemon.answer_head import AnswerHead
from kitekeel_daemon.answer_headers import read_backoff, read_leaving
from kitekeel_daemon.backoff_tracker import BackoffTracker
from kitekeel_daemon.decision_log import DecisionLog
from kitekeel_daemon.gateway_metrics import GatewayMetrics
from kitekeel_steering.back_end_log_messages import BackEndAnnouncementUnreadable
from kitekeel_steering.fleet_items import BackEndRecord
from kitekeel_steering.fleet_view import FleetView
from kitekeel_steering.leaving_back_ends import LeavingBackEnds
from kitekeel_steering.proxied_messages import (
    RETRY_AFTER,
    HeaderNames,
    find_header,
    find_headers,
)

OWN = "own"
_MAX_LOGGED_BYTES = 200
_MAX_LOGGED_PROCESSES = 1_000


class AnnouncementReader:
    """Reads the heads of answers; used on one event loop."""

    def __init__(
        self,
        view: FleetView,
        names: HeaderNames,
        leaving: LeavingBackEnds,
        backoffs: BackoffTracker,
        metrics: GatewayMetrics,
        log: DecisionLog,
    ) -> None:
        self._view = view
        self._names = names
        self._metrics = metrics
        self._log = log
        self._logged_unreadable: set[tuple[str, bytes]] = set()
        self._leaving = leaving
        self._backoffs = backoffs

    def read(self, head: AnswerHead, is_health: bool = False) -> None:
        """Read the announcements in the head of an answer.

        Args:
            head: the head.
            is_health: whether it is that of a health answer, which does not end a pause.
        """
        speaker = self._speaker(head)
        if speaker is None:
            return
        self._read_leaving(head, speaker)
        seconds = self._backoff_seconds(head, speaker)
        if seconds:
            self._backoffs.note_requested(speaker, seconds, head)
        elif speaker is head.dialled and not is_health:
            self._backoffs.note_answered(speaker, head.sent_at)

    def _speaker(self, head: AnswerHead) -> BackEndRecord | None:
        """Return the back end that sent an answer, or ``None`` if it is not known.

        It may be another process that has taken over the address of the one that was dialled.
        """
        stated = find_header(head.headers, self._names.answering_instance)
        is_replaced = head.status == HTTPStatus.MISDIRECTED_REQUEST
        if stated == head.dialled.instance.encode() or (stated is None and not is_replaced):
            return head.dialled
        found = [
            each
            for each in self._view.all_back_ends()
            if each.address == head.dialled.address
            and each.instance != head.dialled.instance
            and stated in (None, each.instance.encode())
        ]
        return found[0] if len(found) == 1 else None

    def _read_leaving(self, head: AnswerHead, speaker: BackEndRecord) -> None:
        values = find_headers(head.headers, self._names.leaving)
        if not values:
            return
        parsed = read_leaving(values)
        if parsed.unreadable:
            self._note_unreadable(speaker, self._names.leaving, parsed.unreadable)
        if parsed.is_leaving:
            self._leaving.note(speaker.instance, speaker.started_at_ms, OWN, head.request_id)

    def _backoff_seconds(self, head: AnswerHead, speaker: BackEndRecord) -> float:
        """Return the pause that an answer requests; 0 if it requests none."""
        if head.status != HTTPStatus.SERVICE_UNAVAILABLE:
            return 0.0
        parsed = read_backoff(find_headers(head.headers, RETRY_AFTER))
        if parsed.unreadable:
            self._note_unreadable(speaker, RETRY_AFTER, parsed.unreadable)
        if parsed.is_shortened:
            self._metrics.increment("back-ends.backoffs-shortened")
        return parsed.seconds

    def _note_unreadable(
        self, speaker: BackEndRecord, header: bytes, values: tuple[bytes, ...]
    ) -> None:
        self._metrics.increment("back-ends.announcements-unreadable")
        key = (speaker.instance, header)
        if key in self._logged_unreadable or len(self._logged_unreadable) >= _MAX_LOGGED_PROCESSES:
            return
        self._logged_unreadable.add(key)
        text = b", ".join(values)[:_MAX_LOGGED_BYTES].decode("latin-1")
        self._log.state(
            BackEndAnnouncementUnreadable(speaker.instance, header.decode("latin-1"), text)
        )
