"""Work of the control duty: weight loads, target orders and usage reports."""

from functools import partial

import eventlet
from attrs import frozen

from ..coordination import KeyValueStore, Mirror, SessionDuty
from ..jobs import JobService
from ..membership import HEARTBEAT_PERIOD_S, Members
from ..orders.fleet import FleetOrderSender
from ..outcomes import Done
from ..peering import Peers, peer_pb2
from ..routing import TargetView
from ..runtime.clock import boottime
from ..targets import TargetDirectory
from ..usage import UsageCounters
from ..usage.counters import CounterKey, UsageAmounts
from ..usage.ledger import UsageLedger
from ..usage.messages import from_message
from ..weights.load_scheduler import WeightLoadScheduler
from .control import ControlCalls, announced_versions

__all__ = ["ControlDuties"]

COLLECT_TIMEOUT_S = 1.5
# Within two heartbeat periods a daemon that has just started hears of all others.
MEMBERS_KNOWN_AFTER_S = 2.0 * HEARTBEAT_PERIOD_S


@frozen(eq=False)
class ControlDuties:
    """Services of the control duty; each acts only while this daemon holds the duty."""

    load_scheduler: WeightLoadScheduler
    order_sender: FleetOrderSender
    usage_ledger: UsageLedger

    @classmethod
    def create(
        cls,
        vm: str,
        cloud_address: str,
        duty: SessionDuty,
        store: KeyValueStore,
        announcements: Mirror,
        directory: TargetDirectory,
        jobs: JobService,
        counters: UsageCounters,
        members: Members,
        peers: Peers,
    ) -> "ControlDuties":
        """Connect the services of the duty with the components of a daemon.

        Parameters
        ----------
        vm : str
            Id of this VM, sent as the name of the holder.
        cloud_address : str
            IP address and port of the platform's control interface.
        announcements : Mirror
            Mirror of the announced weight versions.
        """
        created_at = boottime()
        calls = ControlCalls(vm, duty, cloud_address)
        return cls(
            WeightLoadScheduler(
                duty,
                partial(_engines_serving, directory),
                partial(announced_versions, announcements),
                jobs.required_version,
                calls.order_load,
            ),
            FleetOrderSender(duty, directory.pools, calls.scale),
            UsageLedger(
                store,
                duty,
                counters,
                partial(_collect_usage, members, peers),
                calls.report_usage,
                lambda: boottime() - created_at > MEMBERS_KNOWN_AFTER_S,
            ),
        )


def _engines_serving(directory: TargetDirectory, model: str) -> list[TargetView]:
    return [
        view
        for pool in directory.pools()
        if model in pool.models
        for view in directory.views(pool.name)
    ]


def _collect_usage(
    members: Members, peers: Peers, first_window: int, last_window: int
) -> list[tuple[CounterKey, UsageAmounts]]:
    """Return the usage counters of all other members, requested concurrently."""
    pool = eventlet.GreenPool()
    outcomes = pool.imap(
        lambda member: peers.call(
            member.vm,
            "CollectUsage",
            peer_pb2.CollectUsageRequest(
                from_window=max(0, first_window), up_to_window=last_window, shards=1
            ),
            COLLECT_TIMEOUT_S,
        ),
        members.live()[1:],
    )
    return [
        from_message(counter)
        for outcome in outcomes
        if isinstance(outcome, Done)
        for counter in outcome.value.counters
    ]
