"""The work of the control duty: weights, orders of targets and usage reports."""

from functools import partial

import eventlet
from attrs import frozen

from ..coordination import KeyValueStore, Mirror, SessionDuty
from ..jobs import JobService
from ..membership import Members
from ..orders.fleet import FleetOrderSender
from ..outcomes import Done
from ..peering import Peers, peer_pb2
from ..routing import TargetView
from ..targets import TargetDirectory
from ..usage import UsageCounters
from ..usage.counters import CounterKey, UsageAmounts
from ..usage.ledger import UsageLedger
from ..usage.messages import from_message
from ..weights.load_scheduler import WeightLoadScheduler
from .control import ControlCalls, announced_versions

__all__ = ["ControlDuties"]

COLLECT_TIMEOUT_S = 1.5


@frozen(eq=False)
class ControlDuties:
    """What the holder of the control duty does; each part acts only with the duty."""

    rotation: WeightLoadScheduler
    orders: FleetOrderSender
    ledger: UsageLedger

    @classmethod
    def of(
        cls,
        vm: str,
        cloud: str,
        duty: SessionDuty,
        store: KeyValueStore,
        announcements: Mirror,
        directory: TargetDirectory,
        jobs: JobService,
        counters: UsageCounters,
        members: Members,
        peers: Peers,
    ) -> "ControlDuties":
        """Connect the parts of a daemon that the duty needs.

        Parameters
        ----------
        vm : str
            Id of this VM, the holder's name.
        cloud : str
            IP number and port of the platform's interface for duties.
        announcements : Mirror
            Follows the announced weight versions.
        """
        calls = ControlCalls(vm, duty, cloud)
        return cls(
            WeightLoadScheduler(
                duty,
                partial(_engines_of, directory),
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
            ),
        )


def _engines_of(directory: TargetDirectory, model: str) -> list[TargetView]:
    return [
        view
        for pool in directory.pools()
        if model in pool.models
        for view in directory.views(pool.name)
    ]


def _collect_usage(
    members: Members, peers: Peers, first: int, last: int
) -> list[tuple[CounterKey, UsageAmounts]]:
    """Return the counters of all other members, asked side by side."""
    pool = eventlet.GreenPool()
    outcomes = pool.imap(
        lambda member: peers.call(
            member.vm,
            "CollectUsage",
            peer_pb2.CollectUsageRequest(
                from_window=max(0, first), up_to_window=last, shards=1
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
