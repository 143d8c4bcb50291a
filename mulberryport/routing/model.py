"""What the routing policy knows of requests and targets."""

from collections.abc import Mapping

from attrs import field, frozen

__all__ = ["LoadReport", "ShedError", "TargetView", "WorkRequest"]


class ShedError(Exception):
    """The request was refused before any of it was sent to a target."""


@frozen
class LoadReport:
    """A load report of a target, which may lag behind.

    Parameters
    ----------
    running, waiting : int
        Requests that run and that wait in the target.
    capacity : int
        Requests that it can run at the same time.
    version : int
        Weight version that it serves; 0 for plain services.
    leaving : bool
        Whether it will stop soon and must get no new work.
    """

    running: int
    waiting: int
    capacity: int
    version: int = 0
    leaving: bool = False


@frozen(kw_only=True)
class TargetView:
    """A target as this daemon sees it at one moment.

    Parameters
    ----------
    id, address, zone, pool : str
        Identity; the address is an IP number and a port.
    kind : {'model-engine', 'plain-service'}
        What it is.
    cheap : bool
        Whether the platform may reclaim it at short notice.
    checks_fencing : bool
        Whether it refuses orders with an old fencing number.
    report : LoadReport or None
        The newest report, None before the first.
    report_age : float
        Seconds since the report was received; infinite before the first.
    leaving : bool
        Whether the report or the list of VMs marks it as leaving.
    healthy : bool
        Whether the last poll was answered.
    in_flight : int
        Requests of this daemon that run there.
    limit : int
        Largest number of requests of this daemon that may run there at the same
        time; the policy may set a lower one.
    versions : mapping of str to int
        Weight version that it serves of each model, as far as that is known.
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

    @property
    def selectable(self) -> bool:
        """Whether new work may be sent there."""
        return self.healthy and not self.leaving


@frozen
class WorkRequest:
    """What a request needs, for queues and selection.

    Parameters
    ----------
    pool : str
        Pool that serves it.
    workspace : str
        On whose behalf it runs; empty for callers without a key.
    priority : int
        0 to 9; a higher value is served first among the requests of its workspace.
    deadline : float
        Boot time after which it need not start.
    prefix : str
        Start of the prompt, for prefix caches; empty if there is none.
    restartable : bool
        Whether it can be run again from the start, as work on cheap targets must.
    exclude : frozenset of str
        Targets that were tried already.
    affinity : str
        Requests of a workspace with the same key share a target where possible,
        as the samples of a group do; replaces the prefix in this role.
    cost : float
        Expected work, relative to other requests of the pool (above 0).
    model : str
        Model whose weights run it; empty if that does not matter.
    oldest_version : int
        Oldest weight version of the model that may run it; 0 for any.
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

    def accepts_versions_of(self, view: TargetView) -> bool:
        """Whether the weights that a target serves are new enough."""
        if not self.oldest_version:
            return True
        return view.versions.get(self.model, 0) >= self.oldest_version
