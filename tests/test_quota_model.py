"""Model check of limits over all daemons: daemons cut off, killed, added, frozen; keepers doubled;
messages lost. Whatever happens, no window holds more requests than rate, burst and margin allow.
"""

import random
from collections import deque

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from kitekeel_steering.tenant_quota import (
    BACK_END_LIMIT_MARGIN,
    QuotaMargin,
    QuotaPool,
    QuotaStock,
    StandaloneTokens,
    UnlentTime,
    back_end_shares,
    quota_shares,
)
from kitekeel_steering.tenants import Tenant

DAEMONS = 12
MARGIN = QuotaMargin()
TENANT = Tenant("t", rate=20.0, burst=10.0)
ALLOWED = (TENANT.rate * MARGIN.window_seconds + TENANT.burst) * (1 + MARGIN.ratio) + MARGIN.slack
SHARES = quota_shares(TENANT, MARGIN)
assert SHARES is not None
daemon_numbers = st.integers(0, DAEMONS - 1)


class Daemon:
    def __init__(self, number: int, now: float) -> None:
        self.name = f"d{number}"
        self.rounding = (number + 0.5) / DAEMONS
        self.restart(now)

    def restart(self, now: float) -> None:
        self.unlent = UnlentTime(now)
        self.pool = QuotaPool(lambda _tenant: self.rounding)
        self.stock = QuotaStock(self.rounding)
        self.earnings: StandaloneTokens | None = None


class QuotaModel(RuleBasedStateMachine):
    """Every daemon may take any daemon for its keeper, as after any partition."""

    window_seconds = MARGIN.window_seconds
    allowed = ALLOWED
    shares = SHARES

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.daemons = [Daemon(number, self.now) for number in range(DAEMONS)]
        self.admitted: deque[float] = deque()

    def _admit(self, count: int) -> None:
        self.admitted.extend([self.now] * count)

    @rule(seconds=st.floats(0.0, 8.0))
    def time_passes(self, seconds: float) -> None:
        self.now += seconds

    @rule(number=daemon_numbers, keeper=daemon_numbers, requests=st.integers(0, 200))
    def asks_a_keeper(self, number: int, keeper: int, requests: int) -> None:
        self._ask(number, keeper, requests)

    @rule(keepers=st.lists(daemon_numbers, min_size=1, max_size=3), requests=st.integers(0, 200))
    def all_ask_their_keepers(self, keepers: list[int], requests: int) -> None:
        for number in range(DAEMONS):
            self._ask(number, keepers[number % len(keepers)], requests)

    @rule(number=daemon_numbers, keeper=daemon_numbers)
    def an_answer_is_lost(self, number: int, keeper: int) -> None:
        self._ask(number, keeper, 50, is_answered=False)

    @rule(number=daemon_numbers, other=daemon_numbers, wanted=st.integers(1, 200))
    def a_keeper_asks_another(self, number: int, other: int, wanted: int) -> None:
        taken = self.daemons[other].pool.take_for_transfer(
            "t", self.shares, wanted, self.now, DAEMONS
        )
        self.daemons[number].pool.add_transferred("t", self.shares, taken, self.now, DAEMONS)

    @rule(number=daemon_numbers, keeper=daemon_numbers)
    def a_token_is_given_back(self, number: int, keeper: int) -> None:
        if self.admitted and self.admitted[-1] == self.now:
            self.admitted.pop()
            left = self.daemons[number].stock.add(self.shares, DAEMONS, 1)
            self.daemons[keeper].pool.add("t", self.shares, left, self.now, DAEMONS)

    @rule(number=daemon_numbers)
    def starts_anew(self, number: int) -> None:
        self.daemons[number].restart(self.now)

    @rule(number=daemon_numbers, requests=st.integers(1, 200))
    def earns_alone(self, number: int, requests: int) -> None:
        daemon = self.daemons[number]
        if daemon.earnings is None:
            daemon.unlent.take(self.now)
            daemon.earnings = StandaloneTokens(daemon.rounding, self.now)
        for _ in range(requests):
            taken = daemon.stock.take(self.shares, DAEMONS)
            if not taken and not daemon.earnings.take(self.shares, DAEMONS, self.now):
                return
            self._admit(1)

    def _ask(self, number: int, keeper: int, requests: int, is_answered: bool = True) -> None:
        daemon, asked = self.daemons[number], self.daemons[keeper]
        if daemon.earnings is not None:
            daemon.unlent.take(self.now)
            daemon.earnings = None
        taken = 0
        while taken < requests and daemon.stock.take(self.shares, DAEMONS):
            taken += 1
        asked.pool.lend(daemon.name, daemon.unlent.take(self.now), DAEMONS, self.now)
        room = daemon.stock.max_tokens(self.shares, DAEMONS)
        wanted = requests - taken + room
        granted = asked.pool.take("t", self.shares, wanted, self.now, DAEMONS)
        if not is_answered:
            self._admit(taken)
            return
        used = min(granted, requests - taken)
        self._admit(taken + used)
        daemon.stock.add(self.shares, DAEMONS, granted - used)

    @invariant()
    def no_window_holds_more_than_is_allowed(self) -> None:
        while self.admitted and self.admitted[0] <= self.now - self.window_seconds:
            self.admitted.popleft()
        assert len(self.admitted) <= self.allowed


class BackEndQuotaModel(QuotaModel):
    """A back end's limit, with keepers that forward their tokens to any other daemon."""

    rate = 3.0
    window_seconds = BACK_END_LIMIT_MARGIN.window_seconds
    allowed = 1.5 * window_seconds * rate + 5
    shares = back_end_shares(rate, BACK_END_LIMIT_MARGIN, "north")

    @rule(number=daemon_numbers, other=daemon_numbers, wanted=st.integers(1, 200))
    def a_keeper_asks_another(self, number: int, other: int, wanted: int) -> None:
        taken = self.daemons[other].pool.take("t", self.shares, wanted, self.now, DAEMONS)
        self.daemons[number].pool.add_transferred("t", self.shares, taken, self.now, DAEMONS)

    @rule(number=daemon_numbers, home=daemon_numbers, is_answered=st.booleans())
    def a_keeper_forwards_its_tokens(self, number: int, home: int, is_answered: bool) -> None:
        pool = self.daemons[number].pool
        tokens = pool.drain("t", self.shares, self.now, DAEMONS)
        if is_answered:
            other = self.daemons[home].pool
            other.note_forwarder(f"d{number}", pool.lender_count(self.now), self.now)
            other.add("t", self.shares, tokens, self.now, DAEMONS)


class SmallBackEndQuotaModel(BackEndQuotaModel):
    """A back end's limit of one request per second."""

    rate = 1.0
    allowed = 1.5 * BACK_END_LIMIT_MARGIN.window_seconds * rate + 5
    shares = back_end_shares(rate, BACK_END_LIMIT_MARGIN, "north")


class LargeBackEndQuotaModel(BackEndQuotaModel):
    """A back end's limit of 50 requests per second."""

    rate = 50.0
    allowed = 1.5 * BACK_END_LIMIT_MARGIN.window_seconds * rate + 5
    shares = back_end_shares(rate, BACK_END_LIMIT_MARGIN, "north")


MODEL_SETTINGS = settings(max_examples=150, stateful_step_count=60, deadline=None)
TestQuotaModel = QuotaModel.TestCase
TestQuotaModel.settings = MODEL_SETTINGS
TestBackEndQuotaModel = BackEndQuotaModel.TestCase
TestBackEndQuotaModel.settings = MODEL_SETTINGS
TestSmallBackEndQuotaModel = SmallBackEndQuotaModel.TestCase
TestSmallBackEndQuotaModel.settings = MODEL_SETTINGS
TestLargeBackEndQuotaModel = LargeBackEndQuotaModel.TestCase
TestLargeBackEndQuotaModel.settings = MODEL_SETTINGS


def test_seconds_kept_while_all_were_paused_do_not_come_on_top_of_the_next_window() -> None:
    """All daemons pause for 5 s, and for 4 s again, and are asked for too much after each."""
    model = QuotaModel()
    model.time_passes(5.0)
    model.all_ask_their_keepers([0], 7)
    model.time_passes(4.0)
    model.all_ask_their_keepers([0], 6)
    model.no_window_holds_more_than_is_allowed()


def test_a_tenant_that_asks_for_too_much_gets_its_rate() -> None:
    """All daemons ask for ten times the limit through three keepers for 30 s."""
    generator = random.Random(7)
    model = QuotaModel()
    for _ in range(300):
        model.time_passes(0.1)
        for number in range(DAEMONS):
            model._ask(number, number % 3, generator.randrange(4))
        model.no_window_holds_more_than_is_allowed()
    within = sum(model.now - at <= MARGIN.window_seconds for at in model.admitted)
    assert within >= 0.95 * TENANT.rate * MARGIN.window_seconds


def test_a_small_tenant_gets_its_rate_in_every_one_of_many_regions() -> None:
    """Two requests a second in each of 16 regions of 5 daemons, where the limit is 40."""
    margin, daemons, regions = MARGIN, 80, 16
    shares = quota_shares(Tenant("t", rate=40.0), margin)
    assert shares is not None
    pools = [QuotaPool() for _ in range(regions)]
    lent = [UnlentTime(0.0) for _ in range(daemons)]
    admitted = 0
    for step in range(1, 61):
        now = step * 0.5
        for number in range(daemons):
            pools[number % regions].lend(f"d{number}", lent[number].take(now), daemons, now)
        admitted += sum(pool.take("t", shares, 1, now, daemons) for pool in pools)
    assert admitted >= 0.95 * 60 * regions
