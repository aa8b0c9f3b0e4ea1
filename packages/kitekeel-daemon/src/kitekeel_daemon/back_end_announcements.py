"""Reads what back ends announce in their answers to a daemon with slots."""

from __future__ import annotations

from http import HTTPStatus

import msgspec

from kitekeel_daemon.answer_headers import read_backoff, read_leaving
from kitekeel_daemon.event_recorder import EventRecorder
from kitekeel_steering.http_messages import (
    LEAVING_HEADER,
    RETRY_AFTER_HEADER,
    StreamedAnswer,
)
from kitekeel_steering.metrics import Metrics
from kitekeel_steering.unavailable_back_ends import UnavailableBackEnds

_MAX_RECORDED_TEXT = 200
# Sent to callers instead of a back end's own value, which is about that back end alone.
_RETRY_AFTER_SECONDS = "1"


class BackEndAnnouncements:
    """Reads the heads of answers; safe to call from many threads.

    Args:
        unavailable: updated with the announcements.
        metrics: counts announcements.
        recorder: records each change.
    """

    def __init__(
        self, unavailable: UnavailableBackEnds, metrics: Metrics, recorder: EventRecorder
    ) -> None:
        self._unavailable = unavailable
        self._metrics = metrics
        self._recorder = recorder
        self._recorded_unreadable: set[tuple[str, str]] = set()

    def read(self, back_end: str, answer: StreamedAnswer) -> StreamedAnswer:
        """Read the announcements in an answer; return the answer to pass on to the caller."""
        leaving = read_leaving(_values(answer, LEAVING_HEADER))
        if leaving.unreadable:
            self._note_unreadable(back_end, LEAVING_HEADER, leaving.unreadable)
        if leaving.is_leaving and self._unavailable.note_leaving(back_end):
            self._metrics.increment("back_ends.leaving_announced")
            self._recorder.add("back-end-leaving", f"{back_end}, announced in an answer")
        if answer.status != HTTPStatus.SERVICE_UNAVAILABLE:
            self._unavailable.note_answered(back_end)
            return answer
        return self._read_pause(back_end, answer)

    def _read_pause(self, back_end: str, answer: StreamedAnswer) -> StreamedAnswer:
        parsed = read_backoff(_values(answer, RETRY_AFTER_HEADER))
        if parsed.unreadable:
            self._note_unreadable(back_end, RETRY_AFTER_HEADER, parsed.unreadable)
        if not parsed.seconds:
            self._unavailable.note_answered(back_end)
            return answer
        self._metrics.increment("back_ends.pauses_requested")
        if self._unavailable.note_pause(back_end, parsed.seconds):
            self._recorder.add("back-end-pause", f"{back_end}, {parsed.seconds:g} s requested")
        others = (each for each in answer.headers if each[0].lower() != RETRY_AFTER_HEADER.lower())
        headers = (*others, (RETRY_AFTER_HEADER, _RETRY_AFTER_SECONDS))
        return msgspec.structs.replace(answer, headers=headers)

    def _note_unreadable(self, back_end: str, header: str, values: tuple[bytes, ...]) -> None:
        self._metrics.increment("back_ends.announcements_unreadable")
        if (back_end, header) in self._recorded_unreadable:
            return
        self._recorded_unreadable.add((back_end, header))
        text = b", ".join(values)[:_MAX_RECORDED_TEXT].decode("latin-1")
        self._recorder.add("back-end-announcement-unreadable", f"{back_end}: {header}: {text}")


def _values(answer: StreamedAnswer, name: str) -> list[bytes]:
    wanted = name.lower()
    return [
        value.encode("latin-1", "replace")
        for each, value in answer.headers
        if each.lower() == wanted
    ]
