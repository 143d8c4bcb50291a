"""The queue of a pool: weighted fairness between workspaces.

Workspaces take turns by deficit round robin (Shreedhar and Varghese, "Efficient
fair queueing using deficit round robin", SIGCOMM 1995). Priority orders the
waiters of one workspace only, so that no workspace gains a larger share by
marking its requests as urgent.
"""

import math
from collections.abc import Callable, Iterator

from attrs import define, field

from .model import WorkRequest

__all__ = ["FairQueue", "Ticket"]

# Waiters of a workspace that are examined for one that prefers the free target.
LOOK_AHEAD = 16


@define(eq=False)
class Ticket:
    """A request that waits for a place.

    Parameters
    ----------
    work : WorkRequest
        The request.
    notify : callable
        Called once with what became of it: a grant or a ``ShedError``.
    passed_over : int
        Times that a later waiter of its workspace was served before it.
    """

    work: WorkRequest
    notify: Callable[[object], None]
    passed_over: int = 0


@define(eq=False)
class Line:
    """The waiters of one workspace, by priority and then by arrival."""

    workspace: str
    deficit: float = 0.0
    length: int = 0
    _classes: dict[int, dict[Ticket, None]] = field(factory=dict)

    def add(self, ticket: Ticket) -> None:
        """Place a waiter behind the others of its priority."""
        self._classes.setdefault(ticket.work.priority, {})[ticket] = None
        self.length += 1

    def remove(self, ticket: Ticket) -> bool:
        """Remove a waiter; return whether it was there."""
        waiters = self._classes.get(ticket.work.priority, {})
        if ticket not in waiters:
            return False
        del waiters[ticket]
        if not waiters:
            del self._classes[ticket.work.priority]
        self.length -= 1
        return True

    def __iter__(self) -> Iterator[Ticket]:
        """Iterate over the waiters, the first to be served first."""
        for priority in sorted(self._classes, reverse=True):
            yield from self._classes[priority]

    def worst(self) -> Ticket:
        """Return the waiter that would be served last."""
        return next(reversed(self._classes[min(self._classes)]))

    def next_fitting(
        self,
        fits: Callable[[WorkRequest], bool],
        prefers: Callable[[WorkRequest], bool],
    ) -> Ticket | None:
        """Return the waiter to serve now.

        This is the first that fits, or one close behind it that prefers the free
        target (delay scheduling, Zaharia et al., EuroSys 2010). A waiter that was
        passed over ``LOOK_AHEAD`` times is not passed over again.
        """
        first = None
        seen = 0
        for ticket in self:
            work = ticket.work
            if not fits(work):
                continue
            if first is None:
                first = ticket
                if first.passed_over >= LOOK_AHEAD:
                    return first
            if work.priority != first.work.priority or seen >= LOOK_AHEAD:
                break
            seen += 1
            if prefers(work):
                if ticket is not first:
                    first.passed_over += 1
                return ticket
        return first


def _any(_: WorkRequest) -> bool:
    return True


def _none(_: WorkRequest) -> bool:
    return False


@define(eq=False)
class FairQueue:
    """Waiters of a pool.

    Parameters
    ----------
    weight_of : callable
        Weight of a workspace by its name, above 0.
    limit : int
        Waiters that may be held.

    Examples
    --------
    >>> queue = FairQueue({"a": 2.0, "b": 1.0}.__getitem__, 10)
    >>> for name in "aaabbb":
    ...     _ = queue.add(Ticket(WorkRequest("pool", name), print))
    >>> [queue.pop().work.workspace for _ in range(6)]
    ['a', 'a', 'b', 'a', 'b', 'b']
    """

    weight_of: Callable[[str], float]
    limit: int
    _lines: dict[str, Line] = field(factory=dict)
    # The line whose turn it is has had its quantum for this turn.
    _in_turn: bool = False
    _length: int = 0

    def __len__(self) -> int:
        return self._length

    def add(self, ticket: Ticket) -> Ticket | None:
        """Add a waiter and return the one that lost its place, if any.

        A full queue sheds the worst-placed waiter of the workspace with the
        longest queue in relation to its weight; that may be the new one.
        """
        workspace = ticket.work.workspace
        if workspace not in self._lines:
            self._lines[workspace] = Line(workspace)
        self._lines[workspace].add(ticket)
        self._length += 1
        if self._length <= self.limit:
            return None
        longest = max(
            self._lines.values(),
            key=lambda line: line.length / self.weight_of(line.workspace),
        )
        lost = longest.worst()
        self.remove(lost)
        return lost

    def remove(self, ticket: Ticket) -> bool:
        """Remove a waiter; return whether it was there."""
        workspace = ticket.work.workspace
        line = self._lines.get(workspace)
        if line is None or not line.remove(ticket):
            return False
        self._length -= 1
        if not line.length:
            if next(iter(self._lines)) == workspace:
                self._in_turn = False
            # An idle workspace saves nothing up.
            del self._lines[workspace]
        return True

    def expired(self, now: float) -> list[Ticket]:
        """Remove and return the waiters whose deadline has passed."""
        late = [t for line in self._lines.values() for t in line]
        late = [ticket for ticket in late if ticket.work.deadline <= now]
        for ticket in late:
            self.remove(ticket)
        return late

    def pop(
        self,
        fits: Callable[[WorkRequest], bool] = _any,
        prefers: Callable[[WorkRequest], bool] = _none,
    ) -> Ticket | None:
        """Remove and return the next waiter that fits a free place.

        Parameters
        ----------
        fits : callable
            Whether a request may take the place.
        prefers : callable
            Whether a request has a warm prefix there.
        """
        # The same first waiter may be examined in several rounds.
        found: dict[str, Ticket] = {}
        for workspace, line in self._lines.items():
            ticket = line.next_fitting(fits, prefers)
            if ticket is not None:
                found[workspace] = ticket
        if not found:
            return None
        quanta = self._quanta()
        first_round = True
        while True:
            for _ in range(len(self._lines)):
                workspace = next(iter(self._lines))
                line = self._lines[workspace]
                ticket = found.get(workspace)
                if ticket is not None:
                    if not self._in_turn:
                        line.deficit += quanta[workspace]
                        self._in_turn = True
                    # Tolerance for sums of binary fractions.
                    if line.deficit >= ticket.work.cost - 1e-9:
                        line.deficit -= ticket.work.cost
                        self.remove(ticket)
                        return ticket
                self._end_turn(workspace)
            if first_round:
                self._skip_idle_rounds(found, quanta)
                first_round = False

    def _quanta(self) -> dict[str, float]:
        # Relative to the smallest weight the largest quantum would be a long
        # burst of one workspace; relative to the mean it is a few requests.
        weights = {name: self.weight_of(name) for name in self._lines}
        mean = sum(weights.values()) / len(weights)
        return {name: weight / mean for name, weight in weights.items()}

    def _end_turn(self, workspace: str) -> None:
        self._lines[workspace] = self._lines.pop(workspace)
        self._in_turn = False

    def _skip_idle_rounds(
        self, found: dict[str, Ticket], quanta: dict[str, float]
    ) -> None:
        """Add the quanta of the rounds in which nobody can be served yet."""
        rounds = min(
            math.ceil((t.work.cost - self._lines[name].deficit) / quanta[name]) - 1
            for name, t in found.items()
        )
        if rounds > 0:
            for name in found:
                self._lines[name].deficit += rounds * quanta[name]
