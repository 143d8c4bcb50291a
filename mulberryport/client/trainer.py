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
from .received import ReceivedSet

__all__ = ["Group", "ReceivedSample", "StepFailedError", "TrainerClient"]

PULL_WAIT_S = 5.0
CALL_TIMEOUT_S = 10.0
RETRY_DELAY_S = 0.2
OK, NOT_FOUND = 200, 404
# Malformed, no or unknown key, no access, no such route, another specification.
REFUSED_FOR_GOOD = (400, 401, 403, 404, 409)


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
        Returns the trainer's weight version at the moment; it may only rise.

    Examples
    --------
    >>> client = TrainerClient(
    ...     ["http://127.0.0.1:1"], "key", "warnings", "drafting", lambda: 7
    ... )
    >>> groups = [Group("draft a warning", samples=8, max_tokens=200)]
    >>> try:
    ...     for sample in client.run_step(
    ...         1, groups, staleness_bound=2, deadline=0.1
    ...     ):
    ...         print(sample.group, sample.index, sample.versions)
    ... except StepFailedError as error:
    ...     print(str(error).partition(";")[0])
    the step could not be opened before its deadline
    """

    urls: Sequence[str]
    key: str = field(repr=False)
    trainer: str
    route: str
    weight_version: Callable[[], int]
    _turn: int = 0
    _last_failure: str = "no answer"
    _received: dict[int, ReceivedSet] = field(factory=dict)

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
        # Kept until the step is complete, so that a second run of the same step,
        # after an error or beside the first, yields only what is missing.
        received = self._received.setdefault(
            step, ReceivedSet([group.samples for group in groups])
        )
        if list(received.sizes) != [group.samples for group in groups]:
            raise StepFailedError(f"step {step} was run with other groups before")
        self._open(path, body, received, until)
        while received.missing:
            reply = self._pull(path, received, until)
            if reply is None:
                self._open(path, body, received, until)
                continue
            for sample in map(_decode_sample, reply["samples"]):
                if self._fresh(sample, staleness_bound) and received.add(
                    sample.group, sample.index
                ):
                    yield sample
        self._received.pop(step, None)
        self._call("DELETE", path, {"route": self.route})

    def announce(self, pool: str, version: int) -> bool:
        """Announce that the weight store has a new version; true if accepted."""
        body = {"route": self.route, "version": version}
        reply = self._call("POST", f"/v1/weights/{pool}", body)
        return reply is not None and reply.status == 200

    def _fresh(self, sample: ReceivedSample, staleness_bound: int) -> bool:
        """Whether a sample is labelled and within the bound on receipt."""
        if not sample.versions or any(v < 1 or n < 1 for v, n in sample.versions):
            return False
        if sum(count for _, count in sample.versions) != len(sample.tokens):
            return False
        oldest = min(version for version, _ in sample.versions)
        return self.weight_version() - oldest <= staleness_bound

    def _open(
        self, path: str, body: dict[str, Any], received: ReceivedSet, until: float
    ) -> None:
        def make_body() -> dict[str, Any]:
            return {
                **body,
                "weight_version": self.weight_version(),
                "received": base64.b64encode(received.bitmap).decode(),
            }

        self._repeat("PUT", path, make_body, until, "the step could not be opened")

    def _pull(
        self, path: str, received: ReceivedSet, until: float
    ) -> dict[str, Any] | None:
        """Return the answer of a pull; None if the step must be opened again."""

        def make_body() -> dict[str, Any]:
            left = max(0.0, until - time.monotonic())
            return {
                "route": self.route,
                "weight_version": self.weight_version(),
                "received": base64.b64encode(received.bitmap).decode(),
                "wait": min(PULL_WAIT_S, left),
            }

        reply = self._repeat(
            "POST", f"{path}/pull", make_body, until, "the step is not complete"
        )
        return reply.body if reply.status == OK else None

    def _repeat(
        self,
        method: str,
        path: str,
        make_body: Callable[[], dict[str, Any]],
        until: float,
        failure: str,
    ) -> JsonReply:
        """Repeat a call until it is answered, at the next entry VM each time.

        Returns an answer of 200, or of 404 if the owner does not know the step.

        Raises
        ------
        StepFailedError
            The call was refused for good, or the deadline passed.
        """
        while time.monotonic() < until:
            reply = self._call(method, path, make_body())
            if reply is not None and reply.status == OK:
                return reply
            if reply is not None:
                details = reply.body if isinstance(reply.body, dict) else {}
                if reply.status == NOT_FOUND and details.get("known") is False:
                    return reply
                self._last_failure = (
                    f"status {reply.status}: {details.get('error', reply.body)}"
                )
                if reply.status in REFUSED_FOR_GOOD:
                    raise StepFailedError(f"refused with {self._last_failure}")
            time.sleep(RETRY_DELAY_S)
        raise StepFailedError(
            f"{failure} before its deadline; last failure: {self._last_failure}"
        )

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
        self._last_failure = outcome.reason
        return None


def _decode_sample(value: dict[str, Any]) -> ReceivedSample:
    return ReceivedSample(
        group=int(value["group"]),
        index=int(value["index"]),
        tokens=tuple(value["tokens"]),
        versions=tuple((int(v), int(n)) for v, n in value["versions"]),
        target=str(value["target"]),
        score=value.get("score"),
    )
