"""Transfer of a step from its former owner to its new owner."""

from typing import Any

import eventlet

from ..membership import Members, rendezvous_order
from ..outcomes import Done
from ..peering import Peers, peer_pb2
from ..telemetry import define as define_event
from ..telemetry import log
from .messages import (
    id_to_message,
    sample_from_message,
    sample_to_message,
    spec_from_message,
    spec_to_message,
)
from .model import StepId
from .owned import OwnedStep, OwnedSteps
from .replicas import send_samples, split_into_batches
from .step import StepState

__all__ = ["fetch_replicas", "hand_over", "make_replica_page"]

STEP_HANDED_OVER = define_event(
    912, "step_handed_over", "info", "Finished samples were sent to the new owner."
)

FETCH_TIMEOUT_S = 1.5
# After a member joined, the former owner is the next one in rendezvous order. The
# former replica is among the first owners in distinct zones.
CANDIDATE_COUNT = 3


def hand_over(
    steps: OwnedSteps, owned_step: OwnedStep, peers: Peers, new_owner: str
) -> bool:
    """Send the buffered samples of a step to its new owner, then close it here.

    If the new owner cannot be reached, the step stays open here until the next
    reconciliation.
    """
    step = owned_step.step
    sent_slots: set[int] = set()
    while True:
        samples = [
            s for s in step.buffered_samples() if step.slot_of(s) not in sent_slots
        ]
        if not samples:
            break
        outcome = send_samples(peers, new_owner, step, samples)
        if not isinstance(outcome, Done):
            return False
        sent_slots.update(
            slot for s in samples if (slot := step.slot_of(s)) is not None
        )
    log(
        STEP_HANDED_OVER,
        step=step.spec.id.key,
        owner=new_owner,
        samples=len(sent_slots),
    )
    return steps.close(step.spec.id, f"owned by {new_owner}", final=False)


def fetch_replicas(members: Members, peers: Peers, step_id: StepId) -> list[StepState]:
    """Return the copies of a step at other members, which are called concurrently."""
    live = [member for member in members.live() if not member.leaving]
    preferred = rendezvous_order(step_id.key, live)[:CANDIDATE_COUNT]
    leaving = [member for member in members.live() if member.leaving]
    candidates = dict.fromkeys(
        member.vm
        for member in (
            *preferred,
            *members.owners(step_id.key, CANDIDATE_COUNT),
            *leaving,
        )
        if member.vm != members.self_member.vm
    )
    pool = eventlet.GreenPool(max(1, len(candidates)))
    replicas = pool.imap(lambda vm: _fetch_replica(peers, vm, step_id), candidates)
    return [replica for replica in replicas if replica is not None]


def _fetch_replica(peers: Peers, vm: str, step_id: StepId) -> StepState | None:
    """Return a member's copy of a step, incomplete if a call fails, or None."""
    step: StepState | None = None
    first_slot = 0
    while True:
        request = peer_pb2.FetchReplicaRequest(
            id=id_to_message(step_id), first=first_slot
        )
        outcome = peers.call(vm, "FetchReplica", request, FETCH_TIMEOUT_S)
        if not isinstance(outcome, Done) or not outcome.value.known:
            return step
        reply = outcome.value
        if step is None:
            step = StepState(spec_from_message(reply.spec))
            step.mark_received(reply.received)
        for sample in map(sample_from_message, reply.samples):
            step.fill_slot(sample)
        if reply.next <= first_slot:
            return step
        first_slot = reply.next


def make_replica_page(step: StepState | None, first_slot: int) -> Any:
    """Return a page of buffered samples, starting at slot number ``first_slot``."""
    if step is None:
        return peer_pb2.FetchReplicaReply(known=False)
    buffered = sorted(
        (slot, sample)
        for sample in step.buffered_samples()
        if (slot := step.slot_of(sample)) is not None and slot >= first_slot
    )
    page = next(split_into_batches(sample for _, sample in buffered), [])
    next_slot = buffered[len(page)][0] if len(page) < len(buffered) else 0
    return peer_pb2.FetchReplicaReply(
        known=True,
        spec=spec_to_message(step.spec),
        samples=[sample_to_message(sample) for sample in page],
        received=step.received_bitmap,
        next=next_slot,
    )
