"""List of targets from their registrations in the platform's store.

An entry that is malformed or was written by another program is skipped. Entries expire
during a store outage although their targets are running, so a missing entry does not
remove a target until the targets have had time to register again.
"""

from collections.abc import Callable

import orjson
from attrs import define, field

from ..coordination import Change, Item, Mirror
from ..targets import TargetDirectory
from ..targets.vm_list import ListedVm
from ..telemetry import define as define_event
from ..telemetry import log
from .counts import check_address, check_count

__all__ = ["REGISTRATIONS_PREFIX", "Registrations", "decode_registration"]

REGISTRATION_SKIPPED = define_event(
    1420,
    "registration_skipped",
    "warning",
    "A malformed registration of a target was skipped.",
)
TARGET_LISTED = define_event(
    1421, "target_listed", "info", "A target was registered or changed its state."
)
COLD_TIME_MALFORMED = define_event(
    1423,
    "cold_time_malformed",
    "warning",
    "A target says for how long it is cold, but not by a sensible number; this part of "
    "its registration was ignored.",
)
TARGET_UNLISTED = define_event(
    1422, "target_unlisted", "info", "The registration of a target was removed."
)

REGISTRATIONS_PREFIX = "servers/"
STATES = ("ready", "draining")
# Running targets register again within 2 s after the store recovers.
REREGISTRATION_TIME_S = 2.5
# Fits the messages between daemons.
MAX_UNIX_MS = 2**53
MAX_COLD_MS = 600_000
# Longer texts would fill the logs.
MAX_TEXT_CHARS = 200


def decode_registration(item: Item) -> ListedVm:
    """Decode a target from its registration.

    Raises
    ------
    ValueError
        The entry does not describe a usable target.
    """
    try:
        values = orjson.loads(item.value)
        if values["state"] not in STATES:
            raise ValueError(f"unknown state {values['state']!r}")
        strings = [values[name] for name in ("service", "address", "zone")]
        if not all(isinstance(string, str) for string in strings):
            raise ValueError("a field is not a string")
        if max(map(len, strings)) > MAX_TEXT_CHARS:
            raise ValueError("a field is too long")
        service, address, zone = strings
        return ListedVm(
            id=item.key.removeprefix(REGISTRATIONS_PREFIX),
            address=check_address(address),
            zone=zone,
            pool=service,
            cheap=values.get("spot") is True,
            leaving=values["state"] != "ready",
            slots=check_count(values.get("slots", 0), "number of slots"),
            versions=_decode_versions(values.get("models") or []),
            born=_decode_born(values.get("born")),
            software=_decode_software(values.get("version")),
            cold_s=_decode_cold_s(item.key, values.get("cold-left-ms")),
        )
    except (AttributeError, KeyError, TypeError) as error:
        raise ValueError(f"malformed registration: {error!r}") from error


def _decode_born(value: object) -> int:
    if value is None:
        return 0
    if type(value) is not int or not 0 <= value <= MAX_UNIX_MS:
        raise ValueError(f"invalid time of the start {str(value)[:40]!r}")
    return value


def _decode_cold_s(key: str, value: object) -> float | None:
    """Return for how many seconds a target is cold; None if it does not say."""
    if value is None:
        return None
    if type(value) not in (int, float) or not 0 <= value <= MAX_COLD_MS:
        log(COLD_TIME_MALFORMED, key=key[:MAX_TEXT_CHARS], value=str(value)[:40])
        return None
    return value / 1000


def _decode_software(value: object) -> str:
    if value is None:
        return ""
    if type(value) not in (int, float, str) or len(str(value)) > MAX_TEXT_CHARS:
        raise ValueError(f"invalid version of the software {str(value)[:40]!r}")
    return str(value)


def _decode_versions(models: list[dict[str, object]]) -> dict[str, int]:
    versions = {}
    for model in models:
        name = model["name"]
        if not isinstance(name, str):
            raise ValueError("a model has no valid name")
        versions[name] = check_count(model["version"], "version of a model")
    return versions


@define(eq=False)
class Registrations:
    """Updates the directory of targets from the registrations.

    Parameters
    ----------
    mirror : Mirror
        Mirror of the registrations.
    directory : TargetDirectory
        Receives the list of targets.
    on_update : callable
        Called after each change of the list.
    """

    mirror: Mirror
    directory: TargetDirectory
    on_update: Callable[[], None] = lambda: None
    _listed: dict[str, ListedVm] = field(factory=dict)
    _missing: set[str] = field(factory=set)

    def start(self) -> None:
        """Subscribe to the mirror."""
        self.mirror.subscribe(self._on_change)

    @property
    def listed(self) -> dict[str, ListedVm]:
        """All targets by their key; must not be modified."""
        return self._listed

    def remove_missing_targets(self) -> None:
        """Remove targets that did not register again after a store outage."""
        if self._missing and self._can_remove_targets():
            for key in list(self._missing):
                self._remove_target(key)
            self._missing.clear()
            self._publish()

    def _on_change(self, change: Change) -> None:
        if change.item is None:
            if self._can_remove_targets():
                self._remove_target(change.key)
            else:
                self._missing.add(change.key)
                return
        else:
            self._missing.discard(change.key)
            try:
                vm = decode_registration(change.item)
            except ValueError as error:
                log(REGISTRATION_SKIPPED, key=change.key, error=str(error))
                self._remove_target(change.key)
            else:
                self._add_target(change.key, vm)
        self._publish()

    def _add_target(self, key: str, vm: ListedVm) -> None:
        previous = self._listed.get(key)
        if previous is None or (previous.leaving, previous.software) != (
            vm.leaving,
            vm.software,
        ):
            log(
                TARGET_LISTED,
                target=vm.id,
                pool=vm.pool,
                target_zone=vm.zone,
                leaving=vm.leaving,
                software=vm.software,
            )
        self._listed[key] = vm
        if vm.cold_s is not None:
            self.directory.rate_limits.cold.record_report(vm.id, vm.pool, vm.cold_s)
        elif self.mirror.loaded and (previous is None or previous.born != vm.born):
            self.directory.rate_limits.cold.suspect(vm.id, vm.pool)

    def _remove_target(self, key: str) -> None:
        if self._listed.pop(key, None) is not None:
            log(TARGET_UNLISTED, target=key.removeprefix(REGISTRATIONS_PREFIX))

    def _can_remove_targets(self) -> bool:
        return (
            self.mirror.connected
            and self.mirror.connected_for_s > REREGISTRATION_TIME_S
        )

    def _publish(self) -> None:
        self.directory.apply_vm_list(self._listed.values())
        self.on_update()
