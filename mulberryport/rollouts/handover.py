"""Passing a step from one owner to the next."""

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
from .replicas import batches, send_samples
from .step import StepState

__all__ = ["fetch_copies", "hand_over", "serve_page"]

STEP_HANDED_OVER = define_event(
    912, "step_handed_over", "info", "Finished samples were sent to the new owner."
)

FETCH_TIMEOUT_S = 1.5
# The former owner is the next in rendezvous order after a member joined; the former
# replica is among the first owners in distinct zones.
CANDIDATES = 3


def hand_over(
    steps: OwnedSteps, owned: OwnedStep, peers: Peers, new_owner: str
) -> bool:
    """Send a step's finished samples to its new owner, then stop to generate it.

    The step stays here if the new owner cannot be reached; the next review tries
    again.
    """
    step = owned.step
    sent: set[int] = set()
    while True:
        samples = [s for s in step.finished() if step.number(s) not in sent]
        if not samples:
            break
        outcome = send_samples(peers, new_owner, step, samples)
        if not isinstance(outcome, Done):
            return False
        sent.update(n for s in samples if (n := step.number(s)) is not None)
    log(STEP_HANDED_OVER, step=step.spec.id.key, owner=new_owner, samples=len(sent))
    return steps.close(step.spec.id, f"owned by {new_owner}", final=False)


def fetch_copies(members: Members, peers: Peers, step_id: StepId) -> list[StepState]:
    """Return what other members hold of a step, asked side by side."""
    live = [member for member in members.live() if not member.leaving]
    first = rendezvous_order(step_id.key, live)[:CANDIDATES]
    leaving = [member for member in members.live() if member.leaving]
    candidates = dict.fromkeys(
        member.vm
        for member in (*first, *members.owners(step_id.key, CANDIDATES), *leaving)
        if member.vm != members.self_member.vm
    )
    pool = eventlet.GreenPool(max(1, len(candidates)))
    copies = pool.imap(lambda vm: _fetch_copy(peers, vm, step_id), candidates)
    return [copy for copy in copies if copy is not None]


def _fetch_copy(peers: Peers, vm: str, step_id: StepId) -> StepState | None:
    """Return the copy of one member, as far as it answers."""
    step: StepState | None = None
    first = 0
    while True:
        request = peer_pb2.FetchReplicaRequest(id=id_to_message(step_id), first=first)
        outcome = peers.call(vm, "FetchReplica", request, FETCH_TIMEOUT_S)
        if not isinstance(outcome, Done) or not outcome.value.known:
            return step
        reply = outcome.value
        if step is None:
            step = StepState(spec_from_message(reply.spec))
            step.mark_received(reply.received)
        for sample in map(sample_from_message, reply.samples):
            step.fill(sample)
        if reply.next <= first:
            return step
        first = reply.next


def serve_page(step: StepState | None, first: int) -> Any:
    """Return one page of a step's finished samples, from a slot number on."""
    if step is None:
        return peer_pb2.FetchReplicaReply(known=False)
    numbered = sorted(
        (number, sample)
        for sample in step.finished()
        if (number := step.number(sample)) is not None and number >= first
    )
    page = next(batches(sample for _, sample in numbered), [])
    following = numbered[len(page)][0] if len(page) < len(numbered) else 0
    return peer_pb2.FetchReplicaReply(
        known=True,
        spec=spec_to_message(step.spec),
        samples=[sample_to_message(sample) for sample in page],
        received=step.received,
        next=following,
    )
