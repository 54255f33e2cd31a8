"""Connections: which requests are refused for theirs, and which connections end for others."""

from __future__ import annotations

from roadlb.policy.connection_admission import (
    CAUGHT_UP_US,
    HIDDEN_CLOSE_BYTES,
    MAX_READ_STALL_US,
    has_caught_up,
    may_end_reader,
    may_hide_close,
    reserved_connections,
)


def test_a_close_behind_little_unread_input_is_taken_to_be_hidden() -> None:
    assert not may_hide_close(HIDDEN_CLOSE_BYTES - 1, was_hidden=False)
    assert may_hide_close(HIDDEN_CLOSE_BYTES, was_hidden=False)


def test_a_close_stays_hidden_until_all_input_is_read() -> None:
    # The kernel counts whole buffers: with 4 kB unread its window was closed, and orders began 0.7 s late.
    assert may_hide_close(1, was_hidden=True) and not may_hide_close(0, was_hidden=True)


def test_a_moment_without_unread_input_is_taken_for_its_end() -> None:
    assert not has_caught_up(CAUGHT_UP_US - 1) and has_caught_up(CAUGHT_UP_US)


def test_few_connections_are_all_reserved_for_refusals() -> None:
    assert [reserved_connections(count) for count in (0, 1, 11, 12, 64, 512)] == [0, 0, 0, 4, 4, 32]


def test_a_reader_that_pauses_is_ended() -> None:
    assert not may_end_reader(MAX_READ_STALL_US - 1) and may_end_reader(MAX_READ_STALL_US)
