"""Back ends that reject requests although they have room: all of a service, or one of it."""

import random

from gateway_stand_ins import RunningGateway, ask, fleet, play

from kitekeel_steering.back_end_load import AnsweredLoad
from kitekeel_steering.rejections import ServiceRejections, had_free_slot

OBJECTS = 12
REQUESTS = 400


def test_only_a_back_end_with_a_free_slot_and_no_queue_rejects_without_need() -> None:
    assert had_free_slot(AnsweredLoad(3, 0, 4))
    assert not had_free_slot(AnsweredLoad(4, 0, 4))
    assert not had_free_slot(AnsweredLoad(3, 2, 4))
    assert not had_free_slot(None)


def test_rejections_are_common_while_a_quarter_of_the_answers_are() -> None:
    rejections = ServiceRejections(0.0)
    assert not rejections.are_common(0.0)
    for number in range(20):
        rejections.note_answer(number % 2 == 0, number * 0.1)
    assert rejections.are_common(2.0)
    for number in range(20):
        rejections.note_answer(False, 2.0 + number * 0.1)
    assert not rejections.are_common(4.0)


def test_where_all_reject_at_random_requests_stay_with_the_back_end_that_knows_their_object() -> (
    None
):
    """Rejected with 0.55: 210 of 210 answers came from the own back end, 179 of 210 before."""

    async def scenario() -> None:
        generator = random.Random(5)
        store, back_ends = await fleet(6)
        gateway = await RunningGateway(store, "g1").start()
        own: dict[str, str] = {}
        for number in range(OBJECTS):
            _, _, own[str(number)] = await ask(gateway.callers, "/safe/x", "w", key=str(number))
        for each in back_ends:
            each.rejects = lambda: generator.random() < 0.55
        at_own = elsewhere = 0
        soon: list[float] = []
        for number in range(REQUESTS):
            key = str(number % OBJECTS)
            status, headers, body = await ask(gateway.callers, "/safe/x", f"r{number}", key=key)
            if status == 200:
                at_own += body == own[key]
                elsewhere += body != own[key]
            else:
                assert status == 503
                soon.append(float(headers["retry-after"]))
        assert at_own >= 0.9 * (at_own + elsewhere)
        # They have room, so that a caller who comes back soon may still be served in time.
        assert max(soon) <= 0.1

    play(scenario)


def test_where_one_rejects_its_requests_go_to_another() -> None:
    async def scenario() -> None:
        store, back_ends = await fleet(6)
        gateway = await RunningGateway(store, "g1").start()
        for number in range(60):
            await ask(gateway.callers, "/safe/x", f"w{number}", key=str(number % OBJECTS))
        back_ends[0].rejects = lambda: True
        statuses = [
            (await ask(gateway.callers, "/safe/x", f"r{number}", key=str(number % OBJECTS)))[0]
            for number in range(60)
        ]
        assert statuses.count(200) >= 55

    play(scenario)
