"""The bytes of shared state: the same back, within a datagram, and its own error for all else."""

from __future__ import annotations

from contextlib import suppress

from hypothesis import given
from hypothesis import strategies as st

from roadlb.net.datagram import PAYLOAD_MOST
from roadlb.shared_state.budgets import MOST_ITEMS
from roadlb.shared_state.counts import MOST_COUNTS, SHORT, Counted
from roadlb.shared_state.events import Answer, Ask, Sort
from roadlb.shared_state.halls import MOST_HALLS, HallSign
from roadlb.shared_state.judgements import MOST_SIGNS, Evidence, Sign, Trouble
from roadlb.shared_state.wire import MOST, Fault, read, write

K = b"12345678"
FULL = [
    Ask(2**64 - 1, 200, ((K, 1, 2**32 - 1),) * MOST_ITEMS),
    Answer(2**48 - 1, 7, ((K, 5),) * MOST_ITEMS),
    Counted(((Sort.SERVED, K[:SHORT], 9),) * MOST_COUNTS, (1, 2, 3), 4),
    Evidence(
        1.0,
        65_535,
        3,
        4,
        K,
        (Sign(K, Trouble.SILENT, 3, 5_000, 60_000_000, -1),) * MOST_SIGNS,
        9,
        True,
        (HallSign(K, 2, 7_000, 4_000_000_000_000),) * MOST_HALLS,
    ),
    Evidence(None, 0, 0, 0, K, whole=False),
]


def test_the_largest_messages_come_back_the_same_and_fit_a_datagram() -> None:
    assert MOST <= PAYLOAD_MOST
    for message in FULL:
        data = write(message)
        assert len(data) <= MOST and read(data) == message


def test_figures_beyond_their_field_are_told_as_its_largest() -> None:
    sign = Sign(K, Trouble.FULL, 10**9, 10**18, 10**18, 0)
    told = read(write(Evidence(7.0, 10**9, 10**9, 10**9, K, (sign,))))
    assert isinstance(told, Evidence) and told.pressure == 1.0 and told.weight == 65_535
    assert told.signs[0].failures == 31 and told.signs[0].good_us == 0
    assert told.signs[0].bad_us == -1, "longer ago than is told"


@given(
    st.one_of(
        st.binary(max_size=1_200),
        st.builds(lambda kind, rest: bytes([kind]) + rest, st.integers(0, 6), st.binary(max_size=1_100)),
        st.builds(
            lambda n, at, bit, cut: bytes(
                b ^ (1 << bit if i == at % len(write(FULL[n])) else 0) for i, b in enumerate(write(FULL[n]))
            )[:cut],
            st.integers(0, len(FULL) - 1),
            st.integers(0),
            st.integers(0, 7),
            st.integers(0, 1_100),
        ),
    )
)
def test_whatever_comes_its_own_error_or_a_message_within_bounds(data: bytes) -> None:
    with suppress(Fault):
        message = read(data)
        assert len(write(message)) <= MOST
        items = message.signs if isinstance(message, Evidence) else message.items
        assert len(items) <= max(MOST_ITEMS, MOST_COUNTS, MOST_SIGNS)
