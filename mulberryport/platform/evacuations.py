"""Evacuations of availability zones that the operator has asked for in the store."""

from collections.abc import Callable

from attrs import define

from ..coordination import Change, Mirror
from ..targets import TargetDirectory
from ..telemetry import define as define_event
from ..telemetry import log

__all__ = ["EVACUATIONS_PREFIX", "Evacuations"]

EVACUATION_IGNORED = define_event(
    1470,
    "evacuation_ignored",
    "warning",
    "A key in the place of evacuations names no zone; it was ignored.",
)
EVACUATION_UNKNOWN_ZONE = define_event(
    1471,
    "evacuation_unknown_zone",
    "warning",
    "A zone in which no target is known is to be evacuated.",
)

EVACUATIONS_PREFIX = "op/evacuate/"
MAX_ZONE_CHARS = 200


@define(eq=False)
class Evacuations:
    """Tells the directory of targets which zones are evacuated.

    The keys alone count: an evacuation holds from the creation of its key until its
    removal, whatever its value is.

    Parameters
    ----------
    mirror : Mirror
        Mirror of the operator's evacuations.
    directory : TargetDirectory
        Receives the evacuated zones.
    on_update : callable
        Called after each change.
    """

    mirror: Mirror
    directory: TargetDirectory
    on_update: Callable[[], object] = lambda: None

    def start(self) -> None:
        """Subscribe to the mirror."""
        self.mirror.subscribe(self._on_change)

    def _on_change(self, change: Change) -> None:
        zone = change.key.removeprefix(EVACUATIONS_PREFIX)
        # Before the targets are listed, all zones are unknown.
        known_zones = self.directory.listed_zones or {zone}
        if not _is_zone(zone):
            log(EVACUATION_IGNORED, key=change.key[:MAX_ZONE_CHARS])
        elif change.item is not None and zone not in known_zones:
            log(EVACUATION_UNKNOWN_ZONE, evacuated_zone=zone)
        keys = (key.removeprefix(EVACUATIONS_PREFIX) for key in self.mirror.items)
        self.directory.apply_evacuations(filter(_is_zone, keys))
        self.on_update()


def _is_zone(name: str) -> bool:
    return 0 < len(name) <= MAX_ZONE_CHARS and "/" not in name
