"""Rate limits that targets name in their responses.

A target names its limit in every response while the limit holds. Responses on different
connections overtake each other, so the order of arrival says little: only a response to
a request that was sent after the last report arrived is certainly newer.
"""

from collections.abc import Iterable

from attrs import frozen

__all__ = ["RateLimitReport", "latest_report"]


@frozen
class RateLimitReport:
    """What one response says about the rate limit of its target.

    Parameters
    ----------
    requests_per_s : float or None
        Requests per second that the target takes from all daemons together; None if
        the response names no limit.
    sent_at, received_at : float
        Boot times at which the request was sent and the response's head arrived.
    """

    requests_per_s: float | None
    sent_at: float
    received_at: float

    def is_newer_than(self, other: "RateLimitReport") -> bool:
        """Return whether this report certainly describes a later state.

        Examples
        --------
        >>> first = RateLimitReport(2.0, sent_at=1.0, received_at=1.5)
        >>> RateLimitReport(None, sent_at=1.6, received_at=1.9).is_newer_than(first)
        True
        >>> RateLimitReport(None, sent_at=1.2, received_at=1.9).is_newer_than(first)
        False
        """
        return self.sent_at >= other.received_at


def latest_report(reports: Iterable[RateLimitReport]) -> RateLimitReport:
    """Return the report to act on, of reports in their order of arrival.

    While the order of two reports is unknown, one with a limit prevails over one
    without, and the earlier arrival over a later one with another limit: neither a late
    copy nor an overtaken response lifts or changes a limit.

    Examples
    --------
    >>> named = RateLimitReport(2.0, sent_at=1.0, received_at=1.5)
    >>> overtaken = RateLimitReport(None, sent_at=0.9, received_at=1.6)
    >>> latest_report([named, overtaken]).requests_per_s
    2.0
    >>> ended = RateLimitReport(None, sent_at=2.0, received_at=2.5)
    >>> latest_report([ended, named]).requests_per_s is None
    True
    """
    latest, *others = reports
    for report in others:
        if latest.is_newer_than(report):
            continue
        if report.is_newer_than(latest):
            latest = report
        elif report.requests_per_s is not None:
            # A report without a limit has to be newer than both.
            value = latest.requests_per_s
            latest = RateLimitReport(
                report.requests_per_s if value is None else value,
                max(latest.sent_at, report.sent_at),
                max(latest.received_at, report.received_at),
            )
    return latest
