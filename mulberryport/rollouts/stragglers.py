"""Straggler mitigation: priority in the tail of a step, and hedged attempts."""

from attrs import define, field, frozen
from ddsketch import DDSketch

__all__ = ["HedgingTracker", "StragglerPolicy"]

# With fewer finished attempts, the quantiles are not meaningful.
MIN_DURATIONS = 10


@frozen
class StragglerPolicy:
    """Parameters of the straggler mitigation.

    Parameters
    ----------
    quantile, quantile_factor : float
        An attempt may be hedged if its estimated time per token exceeds
        ``quantile_factor`` times this quantile over the step's finished attempts. At
        the quantile itself most attempts are about to finish, so hedging them would
        exhaust the budget.
    budget_share : float
        Maximum tokens of hedges as a fraction of the step's tokens; 0 disables hedging.
    tail_share : float
        The tail begins when at most this fraction of the slots is unfilled.
    priority, tail_priority : int
        Priority of attempts before and in the tail, 0 to 9.
    move_attempts : bool
        Whether attempts are moved from targets that are leaving or unresponsive.
    """

    quantile: float = 0.9
    quantile_factor: float = 1.5
    budget_share: float = 0.05
    tail_share: float = 0.1
    priority: int = 5
    tail_priority: int = 8
    move_attempts: bool = True


@define(eq=False)
class HedgingTracker:
    """Time per token of a step's attempts, and the hedging budget spent.

    Parameters
    ----------
    policy : StragglerPolicy
        Policy with the quantile and the budget.
    step_tokens : int
        Number of tokens of the whole step.
    """

    policy: StragglerPolicy
    step_tokens: int
    started_count: int = 0
    spent_tokens: int = 0
    _token_durations: DDSketch = field(factory=lambda: DDSketch(0.02))

    def record_duration(self, seconds: float, tokens: int) -> None:
        """Record the duration of a finished attempt for its last ``tokens`` tokens."""
        if tokens:
            self._token_durations.add(seconds / tokens)

    def try_charge(self, tokens: int) -> bool:
        """Charge the tokens of a hedge; return False if they exceed the budget."""
        if self.spent_tokens + tokens > self.step_tokens * self.policy.budget_share:
            return False
        self.started_count += 1
        self.spent_tokens += tokens
        return True

    def refund(self, tokens: int) -> None:
        """Return the tokens that a cancelled hedge did not generate to the budget."""
        self.spent_tokens -= tokens

    def straggler_threshold(self, tokens: int) -> float:
        """Return the seconds above which an attempt of this length is a straggler."""
        if self._token_durations.count < MIN_DURATIONS:
            return float("inf")
        quantile = self._token_durations.get_quantile_value(self.policy.quantile)
        return max(1e-9, quantile or 0.0) * self.policy.quantile_factor * max(1, tokens)

    def median_duration(self, tokens: int) -> float:
        """Return the median duration of a number of tokens, in seconds."""
        return float(self._token_durations.get_quantile_value(0.5) or 0.0) * tokens
