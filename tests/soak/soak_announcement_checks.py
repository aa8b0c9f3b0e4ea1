"""Checks of a soak that daemons heed what back ends announce in their answers."""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

from soak_announcement_log import Announcement
from soak_back_end import Arrival, SoakBackEnd
from soak_daemon import SoakDaemon
from soak_fleet import Disturbance

# Requests that were under way when a back end asked for a pause may arrive for so long.
_KNOWN_AFTER_SECONDS = 0.5
_MAX_ARRIVALS_IN_PAUSE = 2
_DRAIN_SECONDS = 2.5
# A cut just before may still hold bytes back.
_UNDISTURBED_BEFORE_SECONDS = 1.0

Process = tuple[str, int, str]


class AnnouncementChecks:
    """The checks of one soak.

    Args:
        back_ends: with what they told, and what they got.
        daemons: by the address that back ends see.
        disturbed: when connections to back ends were cut.
        sent_at: when callers sent their requests, by request id.
    """

    def __init__(
        self,
        back_ends: Iterable[SoakBackEnd],
        daemons: Mapping[str, SoakDaemon],
        disturbed: Sequence[Disturbance],
        sent_at: Mapping[str, float],
    ) -> None:
        self._daemons = daemons
        self._disturbed = disturbed
        self._sent_at = sent_at
        self._arrivals: defaultdict[Process, list[Arrival]] = defaultdict(list)
        self._announcements: list[Announcement] = []
        for back_end in back_ends:
            self._announcements += back_end.announced
            for each in back_end.arrivals:
                self._arrivals[each.back_end, each.started_at_ms, each.sender].append(each)

    def breaches(self) -> list[str]:
        """Return each pause and each announced end that a daemon did not heed, in a line."""
        pauses = [each for each in self._announcements if each.pause_until is not None]
        ends = [each for each in self._announcements if each.pause_until is None]
        return [*self._broken_pauses(pauses), *self._late_requests(ends)]

    def _broken_pauses(self, pauses: Iterable[Announcement]) -> list[str]:
        found: list[str] = []
        for each in pauses:
            assert each.pause_until is not None
            if self._is_excused(each, each.at, each.pause_until):
                continue
            begin = each.at + _KNOWN_AFTER_SECONDS
            count = sum(begin <= other.at < each.pause_until for other in self._after(each))
            if count > _MAX_ARRIVALS_IN_PAUSE:
                asked = f"{each.pause_until - each.at:.2f} s asked at {each.at:.2f}"
                found.append(f"pause: {self._tell(each)}: {count} requests in {asked}")
        return found

    def _late_requests(self, ends: Iterable[Announcement]) -> list[str]:
        found: list[str] = []
        judged: set[Process] = set()
        for each in ends:
            process = (each.back_end, each.started_at_ms, each.sender)
            told = each.at + _KNOWN_AFTER_SECONDS
            if process in judged or self._is_excused(each, each.at, told):
                continue
            judged.add(process)
            for other in self._after(each):
                sent_at = self._sent_at.get(other.request_id, 0.0)
                is_late = sent_at > each.at + _DRAIN_SECONDS
                if is_late and not self._is_daemon_disturbed(each.sender, each.at, other.at):
                    after = f"sent {sent_at - each.at:.2f} s after it was told"
                    found.append(f"left: {self._tell(each)}: {other.request_id}, {after}")
        return found

    def _after(self, told: Announcement) -> list[Arrival]:
        return self._arrivals[told.back_end, told.started_at_ms, told.sender]

    def _is_excused(self, told: Announcement, begin: float, end: float) -> bool:
        since = begin - _UNDISTURBED_BEFORE_SECONDS
        is_cut = any(
            each.back_end == told.back_end and each.begin <= end and each.end >= since
            for each in self._disturbed
        )
        return is_cut or self._is_daemon_disturbed(told.sender, since, end)

    def _is_daemon_disturbed(self, sender: str, begin: float, end: float) -> bool:
        daemon = self._daemons.get(sender)
        return daemon is None or daemon.is_disturbed(begin, end)

    def _tell(self, told: Announcement) -> str:
        daemon = self._daemons.get(told.sender)
        return f"{told.back_end} to {daemon.name if daemon is not None else told.sender}"
