"""What the routing policy knows of a target."""

from attrs import frozen

__all__ = ["LoadReport", "TargetView"]


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
        Requests of this daemon that may run there at the same time.
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

    @property
    def selectable(self) -> bool:
        """Whether new work may be sent there."""
        return self.healthy and not self.leaving
