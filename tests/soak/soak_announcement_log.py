"""What the answers of a soak's back end announced, as far as daemons could read them."""

from collections.abc import Iterator

import msgspec


class Announcement(msgspec.Struct, frozen=True):
    """What an answer of a back end's process told a daemon; times are monotonic.

    Attributes:
        request_id: of the answered request; empty if it has none.
        pause_until: end of the pause that it asked for; ``None`` if it announced its end.
    """

    back_end: str
    started_at_ms: int
    sender: str
    at: float
    request_id: bytes = b""
    pause_until: float | None = None


class AnnouncementLog:
    """The announcements of one back end in the order of its answers."""

    def __init__(self) -> None:
        self._announcements: list[Announcement] = []

    def __iter__(self) -> Iterator[Announcement]:
        return iter(self._announcements)

    def __len__(self) -> int:
        return len(self._announcements)

    def add(self, announcement: Announcement) -> None:
        """Record an answer that is about to be written."""
        self._announcements.append(announcement)

    def drop_unread(self, answer: bytes) -> None:
        """Drop what an answer announced that its daemon can't read.

        The same request may have been answered before, with announcements that were read.
        """
        of_request = [each for each in self._announcements if _answers(answer, each.request_id)]
        if of_request:
            last_at = of_request[-1].at
            dropped = [each for each in of_request if each.at == last_at]
            self._announcements = [each for each in self._announcements if each not in dropped]


def _answers(answer: bytes, request_id: bytes) -> bool:
    return bool(request_id) and b": " + request_id + b"\r\n" in answer
