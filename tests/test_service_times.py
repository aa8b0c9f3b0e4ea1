"""The slow end of a service's times: a miss while caches are cold, a hit once they are warm."""

import random

import pytest

from kitekeel_steering.service_times import ServiceTimes

HIT_SECONDS = 0.1
MISS_SECONDS = 0.35


def noted(times: ServiceTimes, miss_share: float, answers: int) -> float:
    generator = random.Random(4)
    for _ in range(answers):
        is_miss = generator.random() < miss_share
        seconds = MISS_SECONDS if is_miss else HIT_SECONDS
        times.note(seconds * generator.uniform(0.9, 1.1))
    return times.slow_seconds(0.0)


def test_it_is_the_time_of_a_miss_while_many_answers_are_misses() -> None:
    assert noted(ServiceTimes(), 0.4, 400) == pytest.approx(MISS_SECONDS, rel=0.15)


def test_it_falls_to_the_time_of_a_hit_once_caches_are_warm() -> None:
    times = ServiceTimes()
    noted(times, 1.0, 100)
    assert noted(times, 0.01, 600) == pytest.approx(HIT_SECONDS, rel=0.25)


def test_it_rises_within_some_answers_when_caches_are_lost() -> None:
    times = ServiceTimes()
    noted(times, 0.0, 400)
    assert noted(times, 1.0, 40) > 0.8 * MISS_SECONDS


def test_before_the_first_answer_it_is_the_default() -> None:
    assert ServiceTimes().slow_seconds(0.3) == 0.3
