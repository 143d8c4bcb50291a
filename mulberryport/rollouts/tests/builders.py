"""Builders of steps, samples and fake engines for tests."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import eventlet
from attrs import define, field

from ...targets import TargetView, WorkRequest
from ...targets.engine_client import GenerationRequest, StreamError, TokenChunk
from .. import GroupSpec, Sample, StepId, StepSpec, VersionSpan
from ..attempts import EngineAccess

__all__ = ["FakeEngines", "make_sample", "make_spec"]


def make_spec(*sizes: int, bound: int = 1, scoring_route: str = "") -> StepSpec:
    """Return a specification with groups of the given sizes, opened at version 1."""
    groups = tuple(GroupSpec(f"p{n}", size, 8) for n, size in enumerate(sizes))
    step_id = StepId("roads", "warnings", 1)
    return StepSpec(step_id, "drafting", "drafting", bound, 1, groups, scoring_route)


def make_sample(group: int, index: int, version: int = 1, tokens: int = 2) -> Sample:
    """Return a sample whose tokens have a single weight version."""
    spans = (VersionSpan(version, tokens),)
    return Sample(group, index, ("t",) * tokens, spans, "engine1")


@define(eq=False)
class FakeEngines:
    """In-process engines; ``behave`` generates the chunks of each stream."""

    behave: Callable[[str, GenerationRequest], Iterator[TokenChunk]]
    names: tuple[str, ...] = ("e1", "e2")
    limit: int = 4
    leaving: set[str] = field(factory=set)
    in_flight: dict[str, int] = field(factory=dict)
    requests: list[tuple[str, GenerationRequest]] = field(factory=list)
    cancelled: list[str] = field(factory=list)

    def access(self) -> EngineAccess:
        """Return the access to the engines for attempts."""
        return EngineAccess(self._assign, self.views, self._generate, self._cancel)

    def views(self, pool: str) -> list[TargetView]:
        """Return the target views of the engines."""
        return [
            TargetView(
                id=name,
                address=name,
                zone="z",
                pool=pool,
                kind="model-engine",
                limit=self.limit,
                leaving=name in self.leaving,
                in_flight=self.in_flight.get(name, 0),
            )
            for name in self.names
        ]

    @contextmanager
    def _assign(self, work: WorkRequest) -> Iterator[TargetView]:
        while True:
            free = [
                view
                for view in self.views(work.pool)
                if view.selectable
                and view.id not in work.exclude
                and view.in_flight < view.limit
            ]
            if free:
                break
            eventlet.sleep(0.005)
        view = min(free, key=lambda v: v.in_flight)
        self.in_flight[view.id] = view.in_flight + 1
        try:
            yield view
        finally:
            self.in_flight[view.id] -= 1

    def _generate(
        self, address: str, request: GenerationRequest, timeout: float
    ) -> Any:
        self.requests.append((address, request))
        offset = request.offset
        for chunk in self.behave(address, request):
            offset += len(chunk.tokens)
            yield chunk
        if offset != request.max_tokens:
            raise StreamError("the stream ended without its end marker")

    def _cancel(self, address: str, request_id: str) -> None:
        self.cancelled.append(request_id)
