"""Whom a follower calls: no service hides another, and none is called by all at once."""

from __future__ import annotations

from roadlb.xds.client.choice import LONG_US, PAUSE_MOST_US, PAUSE_US, Choice, Ended, Free, Served


def calls(choice: Choice, count: int, serve_us: dict[int, int], now: int = 0) -> list[tuple[int, int]]:
    """Who is called and when; services in `serve_us` serve for so long, the others are not there."""
    found = []
    for _ in range(count):
        [call] = choice.handle(now, Free())
        now = call.at_us
        found.append((call.service, now))
        if call.service in serve_us:
            choice.handle(now, Served())
            now += serve_us[call.service]
        choice.handle(now, Ended())
    return found


def test_services_that_answer_without_leading_do_not_hide_the_one_that_leads() -> None:
    assert 2 in [service for service, _ in calls(Choice(3, 1), 3, {0: 1_000_000, 1: 1_000_000, 2: LONG_US})]


def test_after_a_long_stream_the_preferred_one_is_called_again() -> None:
    found = [service for service, _ in calls(Choice(3, 1), 3, {1: LONG_US})]
    assert found == [0, 1, 0]


def test_a_service_that_is_not_there_is_called_ever_more_seldom() -> None:
    times = [at for _, at in calls(Choice(1, 1), 40, {})]
    gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
    assert PAUSE_US // 2 <= gaps[0] <= PAUSE_US * 3 // 2
    assert all(PAUSE_MOST_US // 2 <= gap <= PAUSE_MOST_US * 3 // 2 for gap in gaps[10:])


def test_followers_that_lose_one_service_do_not_come_back_at_one_moment() -> None:
    again = {calls(Choice(1, seed), 2, {})[1][1] for seed in range(200)}
    assert len(again) > 190
