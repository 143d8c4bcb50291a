"""Record, in the store, of where streams of a route began lately.

The pool and the software version of a target are in the record of its route before the
first event of a stream that began there is passed on, and for as long as such a stream
may be taken up. If the record has only one, every stream of the route began there, and
nothing has to be kept for single streams.
"""

from collections.abc import Callable, Mapping

import eventlet
import orjson
from attrs import define, field

from ..coordination import Committed, KeyValueStore, Put, Transaction
from ..outcomes import Done, NotDone, Outcome
from ..runtime.clock import boottime
from ..telemetry import define as define_event
from ..telemetry import log

__all__ = ["STREAM_LIFETIME_S", "SoftwareVersions", "decode_versions"]

VERSIONS_UNCONFIRMED = define_event(
    650,
    "software_version_unconfirmed",
    "warning",
    "The software version of a stream could not be recorded in the store.",
)
VERSIONS_MALFORMED = define_event(
    651,
    "software_versions_malformed",
    "error",
    "The store's record of where streams of a route began is malformed.",
)

VERSIONS_PREFIX = "mulberryport/software/"
# Streams last no longer than this, with all attempts of their callers.
STREAM_LIFETIME_S = 150.0
# A version is confirmed again after this time while streams begin at it.
CONFIRMATION_INTERVAL_S = 30.0
# A confirmation of another daemon that is younger than this is not written again.
SHARED_CONFIRMATION_S = CONFIRMATION_INTERVAL_S / 2
# Daemons that begin streams at a new version at the same time change one record.
MAX_ATTEMPTS = 8
# A stream's first event waits no longer than this for the store.
MAX_CONFIRMATION_WAIT_S = 0.3
# Time after a failure in which no stream waits for the store.
FAILURE_PAUSE_S = 2.0


def decode_versions(content: bytes, now: float) -> dict[str, float]:
    """Return the versions that streams may be of, with their last confirmation.

    Parameters
    ----------
    content : bytes
        Value of the record.
    now : float
        Seconds since 1970 by the fleet's clock.

    Raises
    ------
    ValueError
        The record is malformed.

    Examples
    --------
    >>> decode_versions(b'{"1": 1000.0, "2": 1150.0}', now=1250.0)
    {'2': 1150.0}
    """
    values = orjson.loads(content)
    if not isinstance(values, dict):
        raise ValueError("not a mapping of versions")
    # The last confirmation may be older than the last stream by up to two intervals.
    oldest = now - STREAM_LIFETIME_S - 2 * CONFIRMATION_INTERVAL_S
    return {version: float(at) for version, at in values.items() if float(at) >= oldest}


@define(eq=False)
class SoftwareVersions:
    """Reads and extends the record of each route.

    Parameters
    ----------
    store : KeyValueStore
        The store.
    now : callable
        Returns seconds since 1970 by the fleet's clock.
    """

    store: KeyValueStore
    now: Callable[[], float]
    # Boot time of this daemon's last confirmation, by route and version.
    _confirmed_at: dict[tuple[str, str], float] = field(factory=dict)
    _known: dict[str, Mapping[str, float]] = field(factory=dict)
    # Routes and versions at which streams began since their last confirmation.
    _used: set[tuple[str, str]] = field(factory=set)
    _failed_at: float = float("-inf")

    def is_mixed(self, route: str) -> bool:
        """Return whether the last record that was read has several versions."""
        return len(self._known.get(route, ())) > 1

    def read(self, route: str) -> Outcome[dict[str, float]]:
        """Return the versions that streams of a route may be of now."""
        outcome = self.store.read(_key(route))
        if not isinstance(outcome, Done):
            return outcome
        item = outcome.value
        versions = self._decode(route, item.value) if item is not None else {}
        self._known[route] = versions
        return Done(versions)

    def confirm(self, route: str, version: str) -> bool:
        """Ensure that a version is in the record; return whether it is.

        Parameters
        ----------
        route, version : str
            Name of the route, and where a stream of it has begun.
        """
        self._used.add((route, version))
        confirmed_at = self._confirmed_at.get((route, version), float("-inf"))
        started_at = boottime()
        if started_at - confirmed_at < CONFIRMATION_INTERVAL_S:
            return True
        reason = "the store did not answer shortly before"
        if started_at - self._failed_at > FAILURE_PAUSE_S:
            reason = "the store did not answer in time"
            with eventlet.Timeout(MAX_CONFIRMATION_WAIT_S, False):
                outcome = self._write_repeatedly(route, version)
                if isinstance(outcome, Done):
                    self._confirmed_at[route, version] = started_at
                    return True
                reason = str(outcome)
            self._failed_at = boottime()
        log(VERSIONS_UNCONFIRMED, route=route, software=version, reason=reason)
        return False

    def refresh(self) -> None:
        """Confirm the versions that were confirmed lately, before streams wait for it.

        Versions at which no stream has begun since their confirmation are left out.
        """
        due = boottime() - SHARED_CONFIRMATION_S
        for (route, version), at in list(self._confirmed_at.items()):
            if at < due and (route, version) in self._used:
                self._used.discard((route, version))
                started_at = boottime()
                if isinstance(self._write_repeatedly(route, version), Done):
                    self._confirmed_at[route, version] = started_at

    def _write_repeatedly(self, route: str, version: str) -> Outcome[bool]:
        """Write until the record has the version; also after an answer was lost."""
        outcome: Outcome[bool] = NotDone("not tried")
        for _ in range(MAX_ATTEMPTS):
            outcome = self._write(route, version)
            if isinstance(outcome, Done) and outcome.value:
                return outcome
        return NotDone(f"the record could not be changed: {outcome}")

    def _write(self, route: str, version: str) -> Outcome[bool]:
        """Add a version to the record; false if another daemon changed it meanwhile."""
        key = _key(route)
        outcome = self.store.read(key)
        if not isinstance(outcome, Done):
            return outcome
        item, now = outcome.value, self.now()
        versions = self._decode(route, item.value) if item is not None else {}
        if now - versions.get(version, float("-inf")) < SHARED_CONFIRMATION_S:
            self._known[route] = versions
            return Done(True)
        versions[version] = now
        committed = self.store.commit(
            Transaction(
                expected={key: item.revision if item is not None else 0},
                puts=(Put(key, orjson.dumps(versions)),),
            )
        )
        if not isinstance(committed, Done):
            return committed
        self._known[route] = versions
        return Done(isinstance(committed.value, Committed))

    def _decode(self, route: str, content: bytes) -> dict[str, float]:
        try:
            return decode_versions(content, self.now())
        except (TypeError, ValueError) as error:
            # Two versions that no target has: no stream is resolved by the record.
            log(VERSIONS_MALFORMED, route=route, error=str(error))
            return {"\0malformed": self.now(), "\0record": self.now()}


def _key(route: str) -> str:
    return VERSIONS_PREFIX + route
