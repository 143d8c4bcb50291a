"""Client for trainers: opens a step and yields each sample exactly once.

The client keeps the received set and sends it with each pull, so that a lost
answer, a repeated pull or a new owner of the step never delivers a slot twice.
Samples that became too old on the way are not yielded; their slots stay open.
"""

import base64
import time
from collections.abc import Callable, Iterator, Sequence
from typing import Any

from attrs import define, field, frozen

from ..outcomes import Done
from ..runtime.http import JsonReply, call_json

__all__ = ["Group", "ReceivedSample", "StepFailedError", "TrainerClient"]

PULL_WAIT_S = 5.0
CALL_TIMEOUT_S = 10.0
RETRY_DELAY_S = 0.2
NOT_FOUND = 404


class StepFailedError(Exception):
    """A step was refused, or did not complete before its deadline."""


@frozen
class Group:
    """Samples of one prompt.

    Parameters
    ----------
    prompt : str
        The prompt.
    samples : int
        How many samples are wanted.
    max_tokens : int
        Tokens of each sample.
    """

    prompt: str
    samples: int
    max_tokens: int


@frozen
class ReceivedSample:
    """A sample as a trainer receives it.

    Parameters
    ----------
    group, index : int
        Its slot.
    tokens : tuple of str
        The text.
    versions : tuple of (int, int)
        Weight version and number of tokens of each span, in order.
    target : str
        Where it was generated.
    score : float or None
        Of the scoring service.
    """

    group: int
    index: int
    tokens: tuple[str, ...]
    versions: tuple[tuple[int, int], ...]
    target: str
    score: float | None = None


@define(eq=False)
class TrainerClient:
    """Talks to any entry VM on behalf of one trainer.

    Parameters
    ----------
    urls : sequence of str
        Base URLs of the balancer or of caller ports, tried in turn.
    key : str
        Key of the workspace.
    trainer : str
        Name of the trainer, unique in its workspace.
    route : str
        Route whose pool generates the samples.
    weight_version : callable
        Returns the trainer's weight version at the moment.
    """

    urls: Sequence[str]
    key: str = field(repr=False)
    trainer: str
    route: str
    weight_version: Callable[[], int]
    _turn: int = 0

    def run_step(
        self,
        step: int,
        groups: Sequence[Group],
        *,
        staleness_bound: int,
        deadline: float,
        scoring_route: str = "",
    ) -> Iterator[ReceivedSample]:
        """Yield all samples of a step, each exactly once, as they finish.

        Parameters
        ----------
        step : int
            Number of the step.
        groups : sequence of Group
            What to generate.
        staleness_bound : int
            Weight versions by which a sample may be behind on receipt.
        deadline : float
            Seconds until the step must be complete.
        scoring_route : str
            Route of a scoring service; empty for none.

        Raises
        ------
        StepFailedError
            The step was refused or is not complete at its deadline.
        """
        until = time.monotonic() + deadline
        path = f"/v1/steps/{self.trainer}/{step}"
        body = {
            "route": self.route,
            "staleness_bound": staleness_bound,
            "scoring_route": scoring_route,
            "groups": [
                {"prompt": g.prompt, "samples": g.samples, "max_tokens": g.max_tokens}
                for g in groups
            ],
        }
        offsets, slots = _number_slots(groups)
        received = bytearray((slots + 7) // 8)
        missing = slots
        self._open(path, body, until)
        while missing:
            reply = self._pull(path, bytes(received), until)
            if reply is None:
                self._open(path, body, until)
                continue
            for sample in map(_decode_sample, reply["samples"]):
                number = offsets[sample.group] + sample.index
                oldest = min(version for version, _ in sample.versions)
                known = received[number // 8] >> (number % 8) & 1
                if known or self.weight_version() - oldest > staleness_bound:
                    continue
                received[number // 8] |= 1 << (number % 8)
                missing -= 1
                yield sample
        self._call("DELETE", path, {"route": self.route})

    def announce(self, pool: str, version: int) -> bool:
        """Announce that the weight store has a new version; true if accepted."""
        body = {"route": self.route, "version": version}
        reply = self._call("POST", f"/v1/weights/{pool}", body)
        return reply is not None and reply.status == 200

    def _open(self, path: str, body: dict[str, Any], until: float) -> None:
        while time.monotonic() < until:
            reply = self._call(
                "PUT", path, {**body, "weight_version": self.weight_version()}
            )
            if reply is not None and reply.status == 200:
                return
            if reply is not None and reply.status in (400, 401, 403):
                raise StepFailedError(f"step refused: {reply.body}")
            time.sleep(RETRY_DELAY_S)
        raise StepFailedError("the step could not be opened before its deadline")

    def _pull(self, path: str, received: bytes, until: float) -> dict[str, Any] | None:
        """Return the answer of a pull; None if the step must be opened again."""
        while time.monotonic() < until:
            body = {
                "route": self.route,
                "weight_version": self.weight_version(),
                "received": base64.b64encode(received).decode(),
                "wait": PULL_WAIT_S,
            }
            reply = self._call("POST", f"{path}/pull", body)
            if reply is not None and reply.status == 200:
                return reply.body
            if reply is not None and reply.status == NOT_FOUND:
                return None
            if reply is not None and reply.status in (400, 401, 403):
                raise StepFailedError(f"pull refused: {reply.body}")
            time.sleep(RETRY_DELAY_S)
        raise StepFailedError("the step is not complete at its deadline")

    def _call(self, method: str, path: str, body: object) -> JsonReply | None:
        """Call the next entry VM; None without an answer.

        All calls of this client are idempotent, so that they may be repeated.
        """
        url = self.urls[self._turn % len(self.urls)]
        headers = {"Authorization": f"Bearer {self.key}"}
        outcome = call_json(
            method, url + path, body, timeout=CALL_TIMEOUT_S, headers=headers
        )
        if isinstance(outcome, Done):
            return outcome.value
        self._turn += 1
        return None


def _number_slots(groups: Sequence[Group]) -> tuple[list[int], int]:
    """Return the number of the first slot of each group, and of all slots."""
    offsets, total = [], 0
    for group in groups:
        offsets.append(total)
        total += group.samples
    return offsets, total


def _decode_sample(value: dict[str, Any]) -> ReceivedSample:
    return ReceivedSample(
        group=int(value["group"]),
        index=int(value["index"]),
        tokens=tuple(value["tokens"]),
        versions=tuple((int(v), int(n)) for v, n in value["versions"]),
        target=str(value["target"]),
        score=value.get("score"),
    )
