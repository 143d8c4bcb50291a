"""Policy for stragglers: priority at a step's tail, and hedged attempts."""

from attrs import define, field, frozen
from ddsketch import DDSketch

__all__ = ["Hedging", "StragglerPolicy"]

# Below this number of finished attempts a quantile says little.
MIN_DURATIONS = 10


@frozen
class StragglerPolicy:
    """How stragglers are treated.

    Parameters
    ----------
    quantile, factor : float
        An attempt that will take ``factor`` times as long as this quantile of the
        step's attempts, per token, may be hedged. At the quantile itself most
        attempts are about to finish, and hedging them would spend the budget.
    budget : float
        Tokens of hedging attempts as a part of the step's tokens; 0 for none.
    tail_share : float
        Part of the slots that may be unfilled when the tail begins.
    priority, tail_priority : int
        Priority of attempts before and at the tail, 0 to 9.
    move : bool
        Whether attempts leave targets that are leaving or do not answer.
    """

    quantile: float = 0.9
    factor: float = 1.5
    budget: float = 0.05
    tail_share: float = 0.1
    priority: int = 5
    tail_priority: int = 8
    move: bool = True


@define(eq=False)
class Hedging:
    """Durations of a step's attempts, and how many hedges were started.

    Parameters
    ----------
    policy : StragglerPolicy
        Quantile and budget.
    wanted : int
        Tokens of the whole step.
    """

    policy: StragglerPolicy
    wanted: int
    started: int = 0
    spent: int = 0
    _durations: DDSketch = field(factory=lambda: DDSketch(0.02))

    def finished(self, seconds: float, tokens: int) -> None:
        """Note how long an attempt that finished took for its last tokens."""
        if tokens:
            self._durations.add(seconds / tokens)

    def start(self, tokens: int) -> bool:
        """Charge a hedge that generates so many tokens, if the budget has room."""
        if self.spent + tokens > self.wanted * self.policy.budget:
            return False
        self.started += 1
        self.spent += tokens
        return True

    def refund(self, tokens: int) -> None:
        """Give back what a hedge did not generate because it was cancelled."""
        self.spent -= tokens

    def threshold(self, tokens: int) -> float:
        """Return the seconds after which an attempt of a length is a straggler."""
        if self._durations.count < MIN_DURATIONS:
            return float("inf")
        quantile = self._durations.get_quantile_value(self.policy.quantile)
        return max(1e-9, quantile or 0.0) * self.policy.factor * max(1, tokens)

    def usual(self, tokens: int) -> float:
        """Return the median of the seconds that so many tokens take."""
        return float(self._durations.get_quantile_value(0.5) or 0.0) * tokens
