"""Expected length of a text from the caller's estimate and from what was generated."""

__all__ = ["expected_remaining_events"]

# Fraction of the events so far that a text longer than its estimate is expected to
# grow by.
OVERRUN_FRACTION = 0.5
# Events expected of a text without an estimate.
UNKNOWN_EVENTS = 16.0


def expected_remaining_events(
    length_hint: int, tokens_per_event: int, generated_events: int
) -> float:
    """Return the expected number of events that a text still lacks, at least 1.

    Parameters
    ----------
    length_hint : int
        The caller's estimate of the number of output tokens; 0 if there is none.
    tokens_per_event : int
        Tokens of one event.
    generated_events : int
        Events that the text has so far.

    Examples
    --------
    >>> expected_remaining_events(1500, 75, 5)
    15.0
    >>> expected_remaining_events(300, 75, 40)
    20.0
    """
    hinted = length_hint / max(1, tokens_per_event) or UNKNOWN_EVENTS
    overrun = OVERRUN_FRACTION * generated_events
    return max(1.0, hinted - generated_events, min(overrun, generated_events))
