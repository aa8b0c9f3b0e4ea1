"""The faults of a soak, drawn from its seed: signals, cuts, lost answers, a failing store."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

from soak_back_end import SoakBackEnd
from soak_fleet import SoakFleet
from store_stand_in import StoreCopy

from kitekeel_lab.fault_proxy import FaultProxy, ProxyMode, ProxyRule

_MAX_FAULT_SECONDS = 3.0
_MAX_PAUSE_SECONDS = 0.8

_SPOILT_RECORDS = (b"", b"\xff\xfe", b"[" * 100_000, b'{"state": "unheard of"}', b"null")

Fault = Callable[[], Awaitable[None]]


class SoakFaults:
    """Injects faults one after the other, each in a task of its own, so that they overlap.

    Args:
        has_restarts: whether back ends start again under their names and records are spoilt, too.
            Seeds that once failed without draw the same faults as then.
        has_link_cuts: whether some daemons lose their links to all back ends, too.
        has_announcements: whether back ends announce their end, or ask for pauses, too.
        has_restores: whether the store comes back from copies, too.
        has_misleading: whether back ends mislead about what they have run, too.
    """

    def __init__(
        self,
        fleet: SoakFleet,
        generator: random.Random,
        has_restarts: bool = False,
        has_link_cuts: bool = False,
        has_announcements: bool = False,
        has_restores: bool = False,
        has_misleading: bool = False,
    ) -> None:
        self._fleet = fleet
        self._random = generator
        self.told: list[str] = []
        self._kinds: list[Fault] = [
            self._kill,
            self._freeze,
            self._stop_as_planned,
            self._reload,
            self._cut_store_from_daemon,
            self._cut_back_end,
            self._silence_store,
            self._refuse_at_store,
            self._forget_history,
            self._lapse_records,
            self._lose_answers,
            self._slow_back_end,
            self._drain_back_end,
            self._evacuate_zone,
            self._change_configuration,
        ]
        if has_restarts:
            self._kinds += [self._restart_back_end, self._spoil_record, self._write_late]
        if has_link_cuts:
            self._kinds += [self._cut_links, self._cut_links]
        if has_announcements:
            self._kinds += [self._announce_end, self._announce_end_unrecorded]
            self._kinds += [self._ask_for_pause, self._ask_for_pauses_of_all]
        if has_restores:
            self._kinds += [self._restore_store, self._restore_store_twice]
        if has_misleading:
            self._kinds += 3 * [self._copy_rejections] + [self._contradict]

    async def run(self, seconds: float) -> None:
        """Inject faults for so long, then wait until each has ended."""
        ends_at = asyncio.get_running_loop().time() + seconds
        tasks: list[asyncio.Task[None]] = []
        while asyncio.get_running_loop().time() < ends_at:
            fault = self._random.choice(self._kinds)
            tasks.append(asyncio.create_task(self._inject(fault)))
            await asyncio.sleep(self._random.uniform(0.1, _MAX_PAUSE_SECONDS))
        await asyncio.gather(*tasks)

    async def _inject(self, fault: Fault) -> None:
        self.told.append(f"{self._fleet.elapsed():.2f} s {fault.__name__.strip('_')}")
        await fault()

    async def _pause(self) -> None:
        await asyncio.sleep(self._random.uniform(0.3, _MAX_FAULT_SECONDS))

    async def _kill(self) -> None:
        await self._fleet.restart(self._random.choice(self._fleet.daemons), signal.SIGKILL)

    async def _stop_as_planned(self) -> None:
        await self._fleet.restart(self._random.choice(self._fleet.daemons), signal.SIGTERM)

    async def _freeze(self) -> None:
        daemon = self._random.choice(self._fleet.daemons)
        daemon.send(signal.SIGSTOP, self._fleet.now())
        await self._pause()
        daemon.send(signal.SIGCONT, self._fleet.now())

    async def _reload(self) -> None:
        self._random.choice(self._fleet.daemons).send(signal.SIGHUP, self._fleet.now())

    async def _cut_store_from_daemon(self) -> None:
        await self._cut(self._random.choice(self._fleet.store_proxies))

    async def _cut_back_end(self) -> None:
        proxy = self._random.choice(self._fleet.back_end_proxies)
        with self._fleet.disturbing(proxy):
            await self._cut(proxy)

    async def _cut(self, proxy: FaultProxy) -> None:
        modes = [ProxyMode.SWALLOW, ProxyMode.ONE_WAY, ProxyMode.RESET, ProxyMode.PASS]
        rule = ProxyRule(self._random.choice(modes), self._random.uniform(0.0, 0.3))
        proxy.set_rule(rule)
        await self._pause()
        proxy.set_rule(ProxyRule())

    async def _cut_links(self) -> None:
        """Cut some daemons off from all back ends; the others and the callers reach them."""
        count = self._random.randint(1, len(self._fleet.daemons))
        cut = self._random.sample(self._fleet.daemons, count)
        mode = self._random.choice([ProxyMode.SWALLOW, ProxyMode.RESET])
        process_ids = {each.process_id for each in cut if each.process_id is not None}

        def rule_for(owner: int | None) -> ProxyRule:
            return ProxyRule(mode) if owner in process_ids else ProxyRule()

        with self._fleet.disturbing(*self._fleet.back_end_proxies):
            for proxy in self._fleet.back_end_proxies:
                # Looking for the owners of many connections would hold the callers' event loop.
                owned = (rule_for, tuple(process_ids))
                await asyncio.to_thread(proxy.set_rule_by_owner, *owned)
            await self._pause()
            for proxy in self._fleet.back_end_proxies:
                proxy.set_rule(ProxyRule())

    async def _silence_store(self) -> None:
        self._fleet.store.is_silent = True
        await self._pause()
        self._fleet.store.is_silent = False

    async def _refuse_at_store(self) -> None:
        self._fleet.store.status = self._random.choice([429, 503])
        await self._pause()
        self._fleet.store.status = 0

    async def _forget_history(self) -> None:
        self._fleet.store.oldest = self._fleet.store.revision

    async def _lapse_records(self) -> None:
        self._fleet.store.is_silent = True
        await self._fleet.remove_records()
        await self._pause()
        self._fleet.store.is_silent = False
        await asyncio.sleep(self._random.uniform(0.2, 1.5))
        await self._fleet.write_records()

    async def _restore_store(self) -> None:
        """The store comes back from a copy; what was lost is written again after a while."""
        copy = self._fleet.store.copy()
        await self._pause()
        await self._restore_from(copy)
        await self._fleet.write_again()

    async def _restore_store_twice(self) -> None:
        copy = self._fleet.store.copy()
        await self._pause()
        await self._restore_from(copy)
        await self._fleet.write_configuration()
        await self._restore_from(copy)
        await self._fleet.write_again()

    async def _restore_from(self, copy: StoreCopy) -> None:
        self._fleet.store.is_silent = True
        await asyncio.sleep(self._random.uniform(0.0, 1.0))
        await self._fleet.store.restore(copy)
        self._fleet.store.is_silent = False
        await asyncio.sleep(self._random.uniform(0.0, 2.0))

    async def _lose_answers(self) -> None:
        back_end = self._random.choice(self._fleet.back_ends)
        back_end.answers_lost = self._random.uniform(0.1, 1.0)
        await self._pause()
        back_end.answers_lost = 0.0

    async def _slow_back_end(self) -> None:
        back_end = self._random.choice(self._fleet.back_ends)
        back_end.work_factor = self._random.uniform(3.0, 30.0)
        await self._pause()
        back_end.work_factor = 1.0

    async def _drain_back_end(self) -> None:
        back_end = self._random.choice(self._fleet.back_ends)
        await self._fleet.write_record(back_end, "draining")
        await self._pause()
        await self._fleet.write_record(back_end, "ready")

    async def _announce_end(self) -> None:
        """A back end leaves as planned; its next process starts under its name."""
        back_end = self._random.choice(self._fleet.back_ends)
        back_end.is_leaving = True
        await self._fleet.write_record(back_end, "draining")
        await self._end_and_restart(back_end)

    async def _announce_end_unrecorded(self) -> None:
        """A back end leaves, and its record says that it is ready until it has ended."""
        back_end = self._random.choice(self._fleet.back_ends)
        back_end.is_leaving = True
        await self._end_and_restart(back_end)

    async def _end_and_restart(self, back_end: SoakBackEnd) -> None:
        await asyncio.sleep(self._random.uniform(2.5, 2.5 + _MAX_FAULT_SECONDS))
        back_end.start_again()
        await self._fleet.write_record(back_end, "ready")

    async def _ask_for_pause(self) -> None:
        await self._ask_for_pauses([self._random.choice(self._fleet.back_ends)])

    async def _ask_for_pauses_of_all(self) -> None:
        await self._ask_for_pauses(self._fleet.back_ends)

    async def _ask_for_pauses(self, back_ends: list[SoakBackEnd]) -> None:
        for back_end in back_ends:
            back_end.pause_seconds = self._random.uniform(0.8, _MAX_FAULT_SECONDS)
        await self._pause()
        for back_end in back_ends:
            back_end.pause_seconds = 0.0

    async def _copy_rejections(self) -> None:
        """All back ends reject at random, and some rejections come once more, later."""
        rejected = self._random.uniform(0.4, 0.7)
        copied = self._random.uniform(0.5, 1.0)
        for back_end in self._fleet.back_ends:
            back_end.misleading.rejected = rejected
            back_end.misleading.copied = copied
        await self._pause()
        for back_end in self._fleet.back_ends:
            back_end.misleading.rejected = back_end.misleading.copied = 0.0

    async def _contradict(self) -> None:
        back_end = self._random.choice(self._fleet.back_ends)
        back_end.misleading.contradicted = self._random.uniform(0.1, 1.0)
        await self._pause()
        back_end.misleading.contradicted = 0.0

    async def _restart_back_end(self) -> None:
        back_end = self._random.choice(self._fleet.back_ends)
        back_end.start_again()
        await self._fleet.write_record(back_end, "ready")

    async def _spoil_record(self) -> None:
        back_end = self._random.choice(self._fleet.back_ends)
        await self._fleet.spoil_record(back_end, self._random.choice(_SPOILT_RECORDS))
        await self._pause()
        await self._fleet.write_record(back_end, "ready")

    async def _write_late(self) -> None:
        """A write of a process that is gone comes to pass after the later one's."""
        back_end = self._random.choice(self._fleet.back_ends)
        former = back_end.started_at_ms
        back_end.start_again()
        await self._fleet.write_record(back_end, "ready")
        await self._pause()
        later, back_end.started_at_ms = back_end.started_at_ms, former
        await self._fleet.write_record(back_end, "draining")
        back_end.started_at_ms = max(later, back_end.started_at_ms)
        await self._pause()
        await self._fleet.write_record(back_end, "ready")

    async def _evacuate_zone(self) -> None:
        await self._fleet.evacuate("n2")
        await self._pause()
        await self._fleet.end_evacuation("n2")

    async def _change_configuration(self) -> None:
        await self._fleet.write_configuration()
