"""Requests, target views and load reports as the routing policy uses them."""

from collections.abc import Mapping

from attrs import field, frozen

from .rate_limits import RateLimitReport

__all__ = ["LoadReport", "NoRoomError", "ShedError", "TargetView", "WorkRequest"]


class ShedError(Exception):
    """The request was rejected before any of it was sent to a target.

    Parameters
    ----------
    message : str
        Reason.
    retry_after : float or None
        Seconds after which a request like it may be accepted; None if not known.
    """

    def __init__(self, message: str, retry_after: float | None = None) -> None:
        super().__init__(message)
        self.retry_after = retry_after


class NoRoomError(ShedError):
    """The targets of a pool have no room for the request before its deadline."""


@frozen
class LoadReport:
    """A load report of a target, which may be out of date.

    Parameters
    ----------
    running, waiting : int
        Requests that run and requests that wait in the target.
    capacity : int
        Requests that the target can run at the same time.
    version : int
        Weight version that the target serves; 0 for plain services.
    leaving : bool
        Whether the target will stop soon and must receive no new requests.
    slowdown : float or None
        How long work takes at the target now, relative to the usual (1.0 as usual);
        None if the target does not say it.
    """

    running: int
    waiting: int
    capacity: int
    version: int = 0
    leaving: bool = False
    slowdown: float | None = None

    @property
    def is_full(self) -> bool:
        """Whether no slot is free."""
        return self.running + self.waiting >= self.capacity


@frozen(kw_only=True)
class TargetView:
    """The state of a target as known to this daemon at one moment.

    Parameters
    ----------
    id, address, zone, pool : str
        Identity; the address is an IP address and a port.
    kind : {'model-engine', 'plain-service'}
        Kind of the target.
    cheap : bool
        Whether the platform may reclaim the target's VM at short notice.
    checks_fencing : bool
        Whether the target rejects orders with an outdated fencing number.
    report : LoadReport or None
        The newest report, None before the first.
    report_age : float
        Seconds since the report was received; infinite before the first.
    leaving : bool
        Whether the report or the list of VMs marks the target as leaving.
    healthy : bool
        Whether the last poll was answered.
    in_flight : int
        Requests of this daemon that run at the target.
    limit : int
        Largest number of requests of this daemon that may run at the target at the
        same time; the adaptive limit may be lower.
    versions : mapping of str to int
        Weight version that the target serves of each model, as far as known.
    rate_limit : RateLimitReport or None
        What the target last said about its rate limit; None if it never named one.
    born : int
        Time of the target's start, which tells apart targets that used the same id; 0
        if not known.
    software : str
        Version of the target's software; empty if not known.
    is_cold : bool
        Whether the target has just started, or may have, so that the rate limit holds
        until it is warm.
    evacuated : bool
        Whether the operator wants nothing more to be sent to the target's zone.
    """

    id: str
    address: str
    zone: str
    pool: str
    kind: str
    cheap: bool = False
    checks_fencing: bool = False
    report: LoadReport | None = None
    report_age: float = float("inf")
    leaving: bool = False
    healthy: bool = True
    in_flight: int = 0
    limit: int = 16
    versions: Mapping[str, int] = field(factory=dict)
    rate_limit: RateLimitReport | None = None
    born: int = 0
    software: str = ""
    is_cold: bool = False
    evacuated: bool = False

    @property
    def incarnation(self) -> tuple[str, int]:
        """Address and time of the start, which tell apart targets with the same id."""
        return self.address, self.born

    @property
    def requests_per_s(self) -> float | None:
        """Requests per second that the target takes; None if it names no limit."""
        return self.rate_limit.requests_per_s if self.rate_limit else None

    @property
    def selectable(self) -> bool:
        """Whether new requests may be sent to the target."""
        return self.healthy and not self.leaving and not self.evacuated


@frozen
class WorkRequest:
    """The properties of a request that queueing and selection use.

    Parameters
    ----------
    pool : str
        Pool that serves the request.
    workspace : str
        Workspace of the caller; empty for callers without a key.
    priority : int
        0 to 9; a higher value is served first among the requests of its workspace.
    deadline : float
        Boot time after which the request is shed instead of started.
    prefix : str
        Start of the prompt, for prefix caching; empty if there is none.
    restartable : bool
        Whether the request can be run again from the start; cheap targets require
        this.
    exclude : frozenset of str
        Ids of the targets that were already tried.
    affinity : str
        Requests of a workspace with the same key are sent to the same targets where
        possible, as for the samples of a group; used instead of the prefix.
    cost : float
        Expected work relative to other requests of the pool (above 0).
    model : str
        Model that must serve the request; empty if any may.
    oldest_version : int
        Oldest weight version of the model that may be used; 0 for any.
    software : str or None
        Version of the software that the target must run, because it goes on with what
        this version began; None if any may.
    prefers_idle : bool
        Whether targets at which this daemon has no request in flight are preferred.
    purpose : str
        What the request is for, for logs.
    is_resubmitted : bool
        Whether the request comes again after its deadline, so that it is not refused
        because the deadline cannot be met.
    prompt_parts : tuple of (str, int)
        Parts of the prompt in their order: id and tokens. Requests share parts; the
        first ones are the most widely shared.
    expected_events : float
        Expected number of events that are still to be generated; 0 if not known.
    """

    pool: str
    workspace: str
    priority: int = 5
    deadline: float = float("inf")
    prefix: str = ""
    restartable: bool = False
    exclude: frozenset[str] = frozenset()
    affinity: str = ""
    cost: float = 1.0
    model: str = ""
    oldest_version: int = 0
    software: str | None = None
    prefers_idle: bool = False
    purpose: str = "request"
    is_resubmitted: bool = False
    prompt_parts: tuple[tuple[str, int], ...] = ()
    expected_events: float = 0.0

    def accepts_versions_of(self, view: TargetView) -> bool:
        """Whether a target runs the software and serves weights that are new enough."""
        if self.software is not None and view.software != self.software:
            return False
        if not self.oldest_version:
            return True
        return view.versions.get(self.model, 0) >= self.oldest_version
