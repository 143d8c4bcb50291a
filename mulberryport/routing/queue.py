"""The queue of a pool: weighted fairness between workspaces.

Workspaces take turns by deficit round robin (Shreedhar and Varghese, "Efficient
fair queueing using deficit round robin", SIGCOMM 1995). A request is served as
soon as its workspace is not in debt, and its cost may put it in debt, so that a
small workspace does not save up for a costly request while it waits. A workspace
that was idle has its turn first (as new flows in FQ-CoDel, RFC 8290, section 4.2);
its debt outlasts its queue.

Priority orders the waiters of one workspace only, so that no workspace gains a
larger share by marking its requests as urgent.
"""

import math
from collections import Counter
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
    started: bool = False
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
    # Lines whose workspace was idle come first; empty lines are kept until their
    # debt is worked off.
    _fresh: dict[str, Line] = field(factory=dict)
    _lines: dict[str, Line] = field(factory=dict)
    _length: int = 0

    def __len__(self) -> int:
        return self._length

    @property
    def lengths(self) -> Counter:
        """Number of waiters of each workspace."""
        return Counter({line.workspace: line.length for line in self._all_lines()})

    def add(self, ticket: Ticket) -> Ticket | None:
        """Add a waiter and return the one that lost its place, if any.

        A full queue sheds the worst-placed waiter of the workspace with the
        longest queue in relation to its weight; that may be the new one.
        """
        workspace = ticket.work.workspace
        line = self._fresh.get(workspace) or self._lines.get(workspace)
        if line is None:
            line = self._fresh[workspace] = Line(workspace)
        line.add(ticket)
        self._length += 1
        if self._length <= self.limit:
            return None
        longest = max(
            self._all_lines(),
            key=lambda line: line.length / self.weight_of(line.workspace),
        )
        lost = longest.worst()
        self.remove(lost)
        return lost

    def remove(self, ticket: Ticket) -> bool:
        """Remove a waiter; return whether it was there."""
        workspace = ticket.work.workspace
        line = self._fresh.get(workspace) or self._lines.get(workspace)
        if line is None or not line.remove(ticket):
            return False
        self._length -= 1
        return True

    def expired(self, now: float) -> list[Ticket]:
        """Remove and return the waiters whose deadline has passed."""
        late = [t for line in self._all_lines() for t in line]
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
        found: dict[str, Ticket] = {}
        for line in self._all_lines():
            ticket = line.next_fitting(fits, prefers)
            if ticket is not None:
                found[line.workspace] = ticket
        if not found:
            return None
        while True:
            for line in self._all_lines():
                ticket = found.get(line.workspace)
                if ticket is not None and not line.started:
                    line.started = True
                    line.deficit = self._quantum(line.workspace)
                if ticket is not None and line.deficit > 0:
                    line.deficit -= ticket.work.cost
                    self.remove(ticket)
                    return ticket
                if ticket is not None or not line.length:
                    self._end_turn(line)
            self._skip_idle_rounds([self._lines[name] for name in found])

    def _all_lines(self) -> list[Line]:
        return [*self._fresh.values(), *self._lines.values()]

    def _quantum(self, workspace: str) -> float:
        """Return the work that a workspace may do in a turn: a request on average."""
        weights = [self.weight_of(line.workspace) for line in self._all_lines()]
        mean = sum(weights) / len(weights) if weights else self.weight_of(workspace)
        return self.weight_of(workspace) / mean

    def _end_turn(self, line: Line) -> None:
        """Move a line to the end and pay its quantum, or drop an idle one."""
        workspace = line.workspace
        if not line.length and line.deficit > 0 and workspace in self._lines:
            del self._lines[workspace]
            return
        if line.deficit <= 0:
            line.deficit += self._quantum(workspace)
        self._fresh.pop(workspace, None)
        self._lines.pop(workspace, None)
        self._lines[workspace] = line

    def _skip_idle_rounds(self, lines: list[Line]) -> None:
        """Pay the quanta of the rounds in which nobody can be served yet."""
        quanta = {line.workspace: self._quantum(line.workspace) for line in lines}
        rounds = min(
            math.floor(max(0.0, -line.deficit) / quanta[line.workspace])
            for line in lines
        )
        for line in self._lines.values():
            quantum = quanta.get(line.workspace) or self._quantum(line.workspace)
            if line.deficit <= 0:
                line.deficit += rounds * quantum
