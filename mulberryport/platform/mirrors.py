"""What an entry daemon mirrors from the store: configuration, targets, versions, jobs.

The keys come from the store or from other daemons (``coordination.feeds``). Heartbeats
compare the newest revisions that daemons have seen of those keys whose changes must
arrive even if a watch fails.
"""

from collections.abc import Callable
from functools import partial

from attrs import define, field

from ..coordination import (
    Mirror,
    Session,
    SharedWatch,
    WatchServer,
    choose_providers,
    choose_wait_s,
    hold_session,
    is_silent,
    max_provider_distance,
)
from ..jobs.repository import LIVE_PREFIX
from ..membership import Members
from ..peering import Peers, PeerServer, peer_pb2
from ..targets import TargetDirectory
from .configuration import CONFIGURATION_KEY
from .control import ANNOUNCEMENTS_PREFIX
from .evacuations import EVACUATIONS_PREFIX, Evacuations
from .registrations import REGISTRATIONS_PREFIX, Registrations
from .store import PlatformStore

__all__ = ["StoreMirrors"]

# Jobs start and end a few times per second in the whole fleet, and every daemon mirrors
# their keys.
LIVE_KEYS_BATCH_DELAY_S = 0.4
# Combines the updates of two engines that finish loading weights at the same time.
REGISTRATIONS_BATCH_DELAY_S = 0.15
# Longest wait for a change of the live keys. Heartbeats do not compare their revisions,
# so that only the end of a call shows that its connection fell silent; items of an
# ended job must not be sent for more than 3 s.
LIVE_KEYS_WAIT_S = 1.5


@define(eq=False)
class StoreMirrors:
    """Mirrors of the store's keys, and their service to other daemons.

    Parameters
    ----------
    store : PlatformStore
        The store.
    members, peers
        The fleet's members and the client for calls to them.
    session : Session
        Session that is kept open while this daemon watches the store itself.
    directory : TargetDirectory
        Receives the registered targets.
    on_targets_changed : callable
        Called after the registered targets or the evacuated zones have changed.
    follows_evacuations : bool
        Whether the operator of this deployment evacuates zones.
    """

    store: PlatformStore
    members: Members
    peers: Peers
    session: Session
    directory: TargetDirectory
    on_targets_changed: Callable[[], object]
    follows_evacuations: bool = False
    configuration: Mirror = field(init=False)
    announcements: Mirror = field(init=False)
    live_keys: Mirror = field(init=False)
    registrations: Registrations = field(init=False)
    evacuations: Evacuations | None = field(init=False, default=None)
    _watches: dict[str, SharedWatch] = field(factory=dict)

    @property
    def watches(self) -> dict[str, SharedWatch]:
        """Sources of the mirrors by prefix. Callers must not modify the mapping."""
        return self._watches

    def __attrs_post_init__(self) -> None:
        """Create the mirrors without starting them."""
        # A daemon is ready once it has the configuration and the registrations.
        self.configuration = self._make_mirror(CONFIGURATION_KEY, lists_at_once=True)
        # In a small fleet it is watched directly: it changes rarely.
        self._watches[CONFIGURATION_KEY].providers = self._configuration_providers
        self.announcements = self._make_mirror(ANNOUNCEMENTS_PREFIX)
        self.live_keys = self._make_mirror(LIVE_PREFIX, LIVE_KEYS_BATCH_DELAY_S)
        self._watches[LIVE_PREFIX].max_wait_s = lambda vm: LIVE_KEYS_WAIT_S
        self.registrations = Registrations(
            self._make_mirror(
                REGISTRATIONS_PREFIX, REGISTRATIONS_BATCH_DELAY_S, lists_at_once=True
            ),
            self.directory,
            self.on_targets_changed,
        )
        self.registrations.start()
        if self.follows_evacuations:
            self.evacuations = Evacuations(
                self._make_mirror(EVACUATIONS_PREFIX, lists_at_once=True),
                self.directory,
                self.on_targets_changed,
            )
            self.evacuations.start()
        hold_session(self.session, self._watches.values())

    def register(self, server: PeerServer) -> None:
        """Serve the mirrors to followers."""
        WatchServer(
            [(mirror, self._watches[mirror.prefix]) for mirror in self._all_mirrors()]
        ).register(server)

    def start(self) -> None:
        """Start all mirrors."""
        for mirror in self._all_mirrors():
            mirror.start()

    def check_providers(self) -> None:
        """Leave silent providers; call it a few times a second."""
        for watch in self._watches.values():
            watch.check_provider()

    def unread(self) -> list[str]:
        """Return what has not been read yet of what requests need."""
        reasons = []
        if not self.registrations.mirror.loaded:
            reasons.append("no targets were received yet")
        if self.evacuations is not None and not self.evacuations.mirror.loaded:
            reasons.append("no evacuations were received yet")
        return reasons

    def live_keys_age_s(self) -> float:
        """Return for how long the end of a job may have been missed, in seconds.

        A watch of the store itself lasts long. While it is open, the answers to other
        calls, such as the renewals of the session, show that the store is reached.
        """
        age_s = self.live_keys.answered_s_ago
        watches_store = self._watches[LIVE_PREFIX].distance == 0
        return min(age_s, self.store.answered_s_ago) if watches_store else age_s

    def add_revisions(self, heartbeat: peer_pb2.Heartbeat) -> None:
        """Add the newest revisions that this daemon has seen to a heartbeat."""
        for mirror in self._reliable_mirrors():
            heartbeat.mirrored[mirror.prefix] = mirror.newest_revision

    def apply_revisions(self, heartbeat: peer_pb2.Heartbeat) -> None:
        """Expect the revisions that a peer has seen."""
        for mirror in self._reliable_mirrors():
            mirror.expect_revision(heartbeat.mirrored.get(mirror.prefix, 0))

    def _reliable_mirrors(self) -> tuple[Mirror, ...]:
        """Return the mirrors whose changes must arrive even if a watch fails."""
        mirrors = (self.configuration, self.announcements, self.registrations.mirror)
        if self.evacuations is None:
            return mirrors
        return *mirrors, self.evacuations.mirror

    def _all_mirrors(self) -> tuple[Mirror, ...]:
        return *self._reliable_mirrors(), self.live_keys

    def _make_mirror(
        self, prefix: str, batch_delay_s: float = 0.0, lists_at_once: bool = False
    ) -> Mirror:
        members = self.members
        watch = self._watches[prefix] = SharedWatch(
            self.store,
            self.peers,
            partial(choose_providers, members),
            partial(choose_wait_s, members),
            partial(is_silent, members),
            partial(max_provider_distance, members),
            lists_at_once,
        )
        return Mirror(watch, prefix, batch_delay_s=batch_delay_s)

    def _configuration_providers(self) -> list[str]:
        return choose_providers(self.members) if self.members.is_large() else []
