"""Conversion of steps and samples to and from peer messages, and to JSON."""

from typing import Any

from ..peering import peer_pb2
from .model import GroupSpec, Sample, StepId, StepSpec, VersionSpan

__all__ = [
    "id_from_message",
    "id_to_message",
    "sample_from_message",
    "sample_to_json",
    "sample_to_message",
    "spec_from_message",
    "spec_to_message",
]


def id_to_message(step_id: StepId) -> peer_pb2.StepId:
    """Encode the id of a step."""
    return peer_pb2.StepId(
        workspace=step_id.workspace, trainer=step_id.trainer, step=step_id.step
    )


def id_from_message(message: peer_pb2.StepId) -> StepId:
    """Decode the id of a step."""
    return StepId(message.workspace, message.trainer, message.step)


def spec_to_message(spec: StepSpec) -> peer_pb2.StepSpec:
    """Encode the specification of a step."""
    return peer_pb2.StepSpec(
        id=id_to_message(spec.id),
        pool=spec.pool,
        route=spec.route,
        staleness_bound=spec.staleness_bound,
        weight_version=spec.weight_version,
        scoring_route=spec.scoring_route,
        groups=[
            peer_pb2.GroupSpec(
                prompt=group.prompt,
                samples=group.samples,
                max_tokens=group.max_tokens,
            )
            for group in spec.groups
        ],
    )


def spec_from_message(message: peer_pb2.StepSpec) -> StepSpec:
    """Decode the specification of a step."""
    return StepSpec(
        id=id_from_message(message.id),
        route=message.route,
        pool=message.pool,
        staleness_bound=message.staleness_bound,
        weight_version=message.weight_version,
        groups=tuple(
            GroupSpec(group.prompt, group.samples, group.max_tokens)
            for group in message.groups
        ),
        scoring_route=message.scoring_route,
    )


def sample_to_message(sample: Sample) -> peer_pb2.Sample:
    """Encode a sample."""
    return peer_pb2.Sample(
        group=sample.group,
        index=sample.index,
        tokens=sample.tokens,
        spans=[
            peer_pb2.VersionSpan(version=span.version, tokens=span.tokens)
            for span in sample.spans
        ],
        target=sample.target,
        score=sample.score or 0.0,
        scored=sample.score is not None,
    )


def sample_from_message(message: peer_pb2.Sample) -> Sample:
    """Decode a sample."""
    return Sample(
        group=message.group,
        index=message.index,
        tokens=tuple(message.tokens),
        spans=tuple(VersionSpan(s.version, s.tokens) for s in message.spans),
        target=message.target,
        score=message.score if message.scored else None,
    )


def sample_to_json(sample: Sample) -> dict[str, Any]:
    """Return the JSON representation of a sample in the trainer interface."""
    return {
        "group": sample.group,
        "index": sample.index,
        "tokens": sample.tokens,
        "versions": [[span.version, span.tokens] for span in sample.spans],
        "target": sample.target,
        "score": sample.score,
    }
