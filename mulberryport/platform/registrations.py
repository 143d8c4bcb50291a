"""Registrations of targets in the platform's store as a list of targets.

An entry that came from another writer, or that lacks fields, names no target. Entries
lapse while the store is away although their targets live; until these had time to
register again, a missing entry says nothing.
"""

from collections.abc import Callable

import orjson
from attrs import define, field

from ..coordination import Change, Item, Mirror
from ..targets import TargetDirectory
from ..targets.vm_list import ListedVm
from ..telemetry import define as define_event
from ..telemetry import log

__all__ = ["REGISTRATIONS_PREFIX", "Registrations", "decode_registration"]

REGISTRATION_SKIPPED = define_event(
    1420, "registration_skipped", "warning", "A target's registration is malformed."
)
TARGET_LISTED = define_event(1421, "target_listed", "info", "A target was registered.")
TARGET_UNLISTED = define_event(1422, "target_unlisted", "info", "A target is gone.")

REGISTRATIONS_PREFIX = "servers/"
STATES = ("ready", "draining")
# Targets that live are registered again within 2 s of the store's return.
RETURN_S = 2.5


def decode_registration(item: Item) -> ListedVm:
    """Return a target from its registration.

    Raises
    ------
    ValueError
        The entry names no target that can be used.
    """
    try:
        values = orjson.loads(item.value)
        if values["state"] not in STATES:
            raise ValueError(f"unknown state {values['state']!r}")
        texts = [values[name] for name in ("service", "address", "zone")]
        if not all(isinstance(text, str) for text in texts):
            raise ValueError("a field is not text")
        service, address, zone = texts
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit():
            raise ValueError(f"{address!r} is not an address")
        slots = values.get("slots", 0)
        if type(slots) is not int or slots < 0:
            raise ValueError(f"{slots!r} is not a number of slots")
        return ListedVm(
            id=item.key.removeprefix(REGISTRATIONS_PREFIX),
            address=address,
            zone=zone,
            pool=service,
            cheap=values.get("spot") is True,
            leaving=values["state"] != "ready",
            slots=slots,
            versions=_versions(values.get("models") or []),
        )
    except (AttributeError, KeyError, TypeError) as error:
        raise ValueError(f"not a registration: {error!r}") from error


def _versions(models: list[dict[str, object]]) -> dict[str, int]:
    versions = {}
    for model in models:
        name, version = model["name"], model["version"]
        if not isinstance(name, str) or type(version) is not int:
            raise ValueError("a model has no name or version")
        versions[name] = version
    return versions


@define(eq=False)
class Registrations:
    """Keeps the directory of targets in step with the registrations.

    Parameters
    ----------
    mirror : Mirror
        Follows the registrations.
    directory : TargetDirectory
        Gets the list of targets.
    on_update : callable
        Called after each change of the list.
    """

    mirror: Mirror
    directory: TargetDirectory
    on_update: Callable[[], None] = lambda: None
    _listed: dict[str, ListedVm] = field(factory=dict)
    _missing: set[str] = field(factory=set)

    def start(self) -> None:
        """Follow the mirror."""
        self.mirror.subscribe(self._on_change)

    @property
    def listed(self) -> dict[str, ListedVm]:
        """All targets by their key; not to be changed."""
        return self._listed

    def turn(self) -> None:
        """Drop targets that did not register again after an outage."""
        if self._missing and self._may_drop():
            for key in list(self._missing):
                self._drop(key)
            self._missing.clear()
            self._publish()

    def _on_change(self, change: Change) -> None:
        if change.item is None:
            if self._may_drop():
                self._drop(change.key)
            else:
                self._missing.add(change.key)
                return
        else:
            self._missing.discard(change.key)
            try:
                vm = decode_registration(change.item)
            except ValueError as error:
                log(REGISTRATION_SKIPPED, key=change.key, error=str(error))
                self._drop(change.key)
            else:
                self._list(change.key, vm)
        self._publish()

    def _list(self, key: str, vm: ListedVm) -> None:
        known = self._listed.get(key)
        if known is None or known.leaving != vm.leaving:
            log(
                TARGET_LISTED,
                target=vm.id,
                pool=vm.pool,
                target_zone=vm.zone,
                leaving=vm.leaving,
            )
        self._listed[key] = vm

    def _drop(self, key: str) -> None:
        if self._listed.pop(key, None) is not None:
            log(TARGET_UNLISTED, target=key.removeprefix(REGISTRATIONS_PREFIX))

    def _may_drop(self) -> bool:
        return self.mirror.connected and self.mirror.connected_for_s > RETURN_S

    def _publish(self) -> None:
        self.directory.apply_vm_list(self._listed.values())
        self.on_update()
