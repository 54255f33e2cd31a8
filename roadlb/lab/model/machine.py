"""The cores of a grid node: processor sharing in whole numbers.

All jobs in work go forward at one rate: a core each while there are cores enough, else an equal part of
them.  So one counter, what a job that had been there all along would have got, tells all of them: a job that
began at counter value v ends when the counter reaches v + its work.  A job costs O(log n) and a change of
speed O(1), however many are in work.
"""

from __future__ import annotations

from heapq import heappop, heappush

# Work is kept in millionths of a microsecond of a standard core, rates in such units a microsecond: a core
# of speed 0.85 does 850,000.  In whole numbers, what is left of a job does not depend on how often we look.
UNIT = 1_000_000


class Machine:
    """Jobs are numbers of the caller's."""

    def __init__(self, cores: int, now: int) -> None:
        self.cores, self._at = cores, now
        self._core_rate, self._rate = 0, 0
        self._served = 0  # the counter
        self._heap: list[tuple[int, int]] = []  # its value when the job ends, and the job
        self._ends: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._ends)

    def __contains__(self, job: int) -> bool:
        return job in self._ends

    def set_rate(self, core_rate: int) -> None:
        """From now on; `core_rate` is what one core does, in units a microsecond."""
        if core_rate != self._core_rate:
            self._core_rate = core_rate
            self._share()

    def _share(self) -> None:
        jobs = len(self._ends)
        self._rate = self._core_rate if jobs <= self.cores else self._core_rate * self.cores // jobs

    def begin(self, job: int, work_us: int) -> None:
        """`work_us` of a standard core; two jobs that end together do so in the order of their numbers."""
        end = self._served + max(work_us, 0) * UNIT
        self._ends[job] = end
        heappush(self._heap, (end, job))
        self._share()

    def drop(self, job: int) -> None:
        """It stops unfinished."""
        del self._ends[job]
        self._share()

    def next_end(self) -> int | None:
        """When the next job ends at the present rate, in whole microseconds, rounded up."""
        heap = self._heap
        while heap and self._ends.get(heap[0][1]) != heap[0][0]:
            heappop(heap)
        if not heap:
            return None
        left = heap[0][0] - self._served
        if left <= 0:
            return self._at
        return self._at - (-left // self._rate) if self._rate else None

    def run(self, now: int) -> None:
        """Work until `now`, which must not be later than `next_end()`."""
        if now > self._at:
            self._served += self._rate * (now - self._at)
            self._at = now

    def sleep(self, now: int) -> None:
        """Time goes by until `now`, and no work is done."""
        self._at = max(now, self._at)

    def ended(self) -> int | None:
        """A job whose work is done, which is then forgotten; none if there is none."""
        heap = self._heap
        while heap:
            end, job = heap[0]
            if self._ends.get(job) != end:
                heappop(heap)
            elif end <= self._served:
                heappop(heap)
                del self._ends[job]
                self._share()
                return job
            else:
                break
        return None
