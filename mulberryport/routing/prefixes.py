"""Beginnings of prompts that targets are believed to keep in their memory.

The belief follows from the requests of this daemon: a target that read a part of a
prompt keeps it until it restarts, changes its weights, or needs the memory. It may be
wrong, since other daemons use the same memory; a wrong belief costs one reading.
"""

from collections.abc import Iterable

from attrs import define, field

from .model import TargetView

__all__ = ["KeptPrefixes", "Reading"]

# Bound on the parts that are remembered of one target.
MAX_PARTS = 2048
# Tokens that a request of other daemons is taken to use until one of this daemon ran.
DEFAULT_REQUEST_TOKENS = 1000.0
SMOOTHING_FACTOR = 0.05
# A part that was not used for this time was probably displaced by other daemons.
RETENTION_S = 30.0

PartKey = tuple[str, str]


@define(eq=False)
class _Memory:
    """Memory of one start of a target."""

    born: int
    versions: dict[str, int] = field(factory=dict)
    # Parts, tokens and times of the last use; the least recently used part is first.
    parts: dict[PartKey, tuple[int, float]] = field(factory=dict)
    kept_tokens: int = 0
    running_tokens: float = 0.0


@define(eq=False)
class Reading:
    """What one request reads and generates at a target.

    Parameters
    ----------
    target : str
        Id of the target.
    model : str
        The model.
    running_tokens : float
        Tokens that the request itself takes while it runs.
    """

    target: str
    model: str
    running_tokens: float
    _memory: _Memory


@define(eq=False)
class KeptPrefixes:
    """Parts of prompts that the targets of one pool are believed to keep.

    Parameters
    ----------
    memory_tokens : int
        Memory of a target in tokens; 0 if not known.
    tokens_per_event : int
        Tokens that a target generates for one event.

    Examples
    --------
    >>> prefixes = KeptPrefixes(memory_tokens=1000)
    >>> parts = (("a", 300), ("b", 20))
    >>> target = TargetView(id="t", address="", zone="", pool="", kind="model-engine")
    >>> reading = prefixes.start(target, "m", parts, expected_events=10.0, now=0.0)
    >>> prefixes.kept_tokens("t", "m", (("a", 300), ("c", 20)), now=1.0)
    300
    """

    memory_tokens: int = 0
    tokens_per_event: int = 1
    _memories: dict[str, _Memory] = field(factory=dict)
    # Targets that keep a part, so that most targets need not be looked at.
    _holders: dict[PartKey, set[str]] = field(factory=dict)
    _request_tokens: float = DEFAULT_REQUEST_TOKENS

    def holders(self, model: str, parts: tuple[tuple[str, int], ...]) -> Iterable[str]:
        """Return the targets that may keep the beginning of a prompt."""
        return self._holders.get((model, parts[0][0]), ()) if parts else ()

    def kept_tokens(
        self, target: str, model: str, parts: tuple[tuple[str, int], ...], now: float
    ) -> int:
        """Return the tokens of a prompt that a target need not read again.

        A part counts only if all parts before it are kept too.
        """
        memory = self._memories.get(target)
        if memory is None:
            return 0
        kept = 0
        for part, tokens in parts:
            known = memory.parts.get((model, part))
            if known is None or now - known[1] > RETENTION_S:
                break
            kept += min(tokens, known[0])
        return kept

    def free_tokens(self, target: str, other_requests: float) -> float:
        """Return the memory that running requests leave; infinite if not known.

        Parameters
        ----------
        target : str
            Id of the target.
        other_requests : float
            Estimated number of requests of other daemons that run there.
        """
        if not self.memory_tokens:
            return float("inf")
        memory = self._memories.get(target)
        own_tokens = memory.running_tokens if memory else 0.0
        others_tokens = other_requests * self._request_tokens
        return max(0.0, self.memory_tokens - own_tokens - others_tokens)

    def output_tokens(self, expected_events: float) -> float:
        """Return the tokens that a request generates, as far as memory holds them."""
        tokens = expected_events * self.tokens_per_event
        return min(tokens, float(self.memory_tokens or tokens))

    def start(
        self,
        view: TargetView,
        model: str,
        parts: tuple[tuple[str, int], ...],
        expected_events: float,
        now: float,
    ) -> Reading | None:
        """Note that a request of this daemon starts; None if it names no prompt.

        Parameters
        ----------
        view : TargetView
            The target.
        model : str
            The model.
        parts : tuple of (str, int)
            Parts of the prompt in their order.
        expected_events : float
            Expected number of events that the request generates.
        now : float
            Boot time.
        """
        if not parts:
            return None
        target = view.id
        self.update(view, 0.0)
        memory = self._memories.get(target)
        if memory is None:
            memory = self._memories[target] = _Memory(view.born, {**view.versions})
        for part, tokens in parts:
            if part:
                self._keep(target, memory, (model, part), tokens, now)
        running_tokens = self.output_tokens(expected_events) + min(
            parts[-1][1], self.memory_tokens or parts[-1][1]
        )
        memory.running_tokens += running_tokens
        self._request_tokens += SMOOTHING_FACTOR * (
            running_tokens - self._request_tokens
        )
        self._trim(target, memory, self.free_tokens(target, 0.0))
        return Reading(target, model, running_tokens, memory)

    def finish(self, reading: Reading, was_read: bool) -> None:
        """Note that a request ended.

        Parameters
        ----------
        reading : Reading
            What ``start`` returned.
        was_read : bool
            Whether the target is known to have read the prompt. Otherwise it may be
            loading weights, which discards what it kept for the model.
        """
        memory = reading._memory
        memory.running_tokens = max(0.0, memory.running_tokens - reading.running_tokens)
        if not was_read and self._memories.get(reading.target) is memory:
            self._discard_model(reading.target, memory, reading.model)

    def update(self, view: TargetView, other_requests: float) -> None:
        """Discard what a target has lost by a restart, new weights or lack of memory.

        Parameters
        ----------
        view : TargetView
            The newest view of the target.
        other_requests : float
            Estimated number of requests of other daemons that run there.
        """
        memory = self._memories.get(view.id)
        if memory is None:
            return
        if memory.born and view.born != memory.born:
            self._forget(view.id)
            return
        memory.born = view.born
        for model, version in view.versions.items():
            known = memory.versions.get(model)
            if known and known != version:
                self._discard_model(view.id, memory, model)
            memory.versions[model] = version
        self._trim(view.id, memory, self.free_tokens(view.id, other_requests))

    def retain(self, targets: Iterable[str]) -> None:
        """Forget all other targets."""
        for target in self._memories.keys() - set(targets):
            self._forget(target)

    def _keep(
        self, target: str, memory: _Memory, key: PartKey, tokens: int, now: float
    ) -> None:
        """Store a part as the last used one."""
        known = memory.parts.pop(key, None)
        if known is not None:
            memory.kept_tokens -= known[0]
        memory.parts[key] = (tokens, now)
        memory.kept_tokens += tokens
        self._holders.setdefault(key, set()).add(target)

    def _trim(self, target: str, memory: _Memory, free_tokens: float) -> None:
        """Discard the least recently used parts that do not fit."""
        while memory.parts and (
            memory.kept_tokens > free_tokens or len(memory.parts) > MAX_PARTS
        ):
            self._discard(target, memory, next(iter(memory.parts)))

    def _discard_model(self, target: str, memory: _Memory, model: str) -> None:
        for key in [key for key in memory.parts if key[0] == model]:
            self._discard(target, memory, key)

    def _discard(self, target: str, memory: _Memory, key: PartKey) -> None:
        known = memory.parts.pop(key, None)
        if known is None:
            return
        memory.kept_tokens -= known[0]
        holders = self._holders[key]
        holders.discard(target)
        if not holders:
            del self._holders[key]

    def _forget(self, target: str) -> None:
        memory = self._memories.pop(target)
        for key in list(memory.parts):
            self._discard(target, memory, key)
