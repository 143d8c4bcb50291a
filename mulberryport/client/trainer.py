"""Trainer client that opens a step and yields each sample exactly once.

The client keeps the set of received slots and sends it with each pull, so that no
slot is delivered twice after a lost response, a repeated pull or a change of the
step's owner. Samples that exceed the staleness bound on receipt are not yielded;
their slots stay open.
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
# Malformed request, missing or unknown key, no access, no such route, and a step that
# is open with another specification. Repeating such a call cannot succeed.
PERMANENT_REFUSAL_STATUSES = (400, 401, 403, 404, 409)


class StepFailedError(Exception):
    """Raised if a step is refused or incomplete at its deadline."""


@frozen
class Group:
    """Samples requested for one prompt.

    Parameters
    ----------
    prompt : str
        Prompt of all samples of the group.
    samples : int
        Number of samples to generate.
    max_tokens : int
        Maximum number of tokens in each sample.
    """

    prompt: str
    samples: int
    max_tokens: int


@frozen
class ReceivedSample:
    """Sample received by a trainer.

    Parameters
    ----------
    group, index : int
        Group and index of its slot in the step.
    tokens : tuple of str
        Generated tokens.
    versions : tuple of (int, int)
        Weight version and number of tokens of each span, in text order.
    target : str
        Target that generated the sample.
    score : float or None
        Score from the scoring service; None without one.
    """

    group: int
    index: int
    tokens: tuple[str, ...]
    versions: tuple[tuple[int, int], ...]
    target: str
    score: float | None = None


@define(eq=False)
class TrainerClient:
    """Client of the entry VMs for one trainer.

    Parameters
    ----------
    urls : sequence of str
        Base URLs of the load balancer or of caller ports, tried in rotation.
    key : str
        API key of the workspace.
    trainer : str
        Trainer name, unique in its workspace.
    route : str
        Route whose pool generates the samples.
    weight_version : callable
        Returns the trainer's current weight version, which must not decrease.

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
    _url_index: int = 0
    _last_failure: str = "no answer"
    _received_by_step: dict[int, ReceivedSet] = field(factory=dict)

    def run_step(
        self,
        step: int,
        groups: Sequence[Group],
        *,
        staleness_bound: int,
        deadline: float,
        scoring_route: str = "",
    ) -> Iterator[ReceivedSample]:
        """Yield each sample of a step exactly once, as samples complete.

        Parameters
        ----------
        step : int
            Step number.
        groups : sequence of Group
            Prompts and the number of samples of each.
        staleness_bound : int
            Maximum number of weight versions that a sample may lag on receipt.
        deadline : float
            Time limit for the whole step in seconds.
        scoring_route : str
            Route of a scoring service; empty to skip scoring.

        Raises
        ------
        StepFailedError
            The step was refused or is incomplete at its deadline.
        """
        deadline_at = time.monotonic() + deadline
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
        # The set is kept until the step is complete, so that another run of the same
        # step, after an error or concurrently, yields only the missing samples.
        received = self._received_by_step.setdefault(
            step, ReceivedSet([group.samples for group in groups])
        )
        if list(received.group_sizes) != [group.samples for group in groups]:
            raise StepFailedError(f"step {step} was already run with other groups")
        self._open_step(path, body, received, deadline_at)
        while received.missing_count:
            reply = self._pull_samples(path, received, deadline_at)
            if reply is None:
                self._open_step(path, body, received, deadline_at)
                continue
            for sample in map(_decode_sample, reply["samples"]):
                if self._is_acceptable(sample, staleness_bound) and received.add(
                    sample.group, sample.index
                ):
                    yield sample
        self._received_by_step.pop(step, None)
        self._call("DELETE", path, {"route": self.route})

    def announce(self, pool: str, version: int) -> bool:
        """Announce a new version in the weight store; return whether it is accepted."""
        body = {"route": self.route, "version": version}
        reply = self._call("POST", f"/v1/weights/{pool}", body)
        return reply is not None and reply.status == 200

    def _is_acceptable(self, sample: ReceivedSample, staleness_bound: int) -> bool:
        """Return whether a sample has valid version spans and is not too stale."""
        if not sample.versions or any(v < 1 or n < 1 for v, n in sample.versions):
            return False
        if sum(count for _, count in sample.versions) != len(sample.tokens):
            return False
        oldest = min(version for version, _ in sample.versions)
        return self.weight_version() - oldest <= staleness_bound

    def _open_step(
        self, path: str, body: dict[str, Any], received: ReceivedSet, deadline_at: float
    ) -> None:
        def make_body() -> dict[str, Any]:
            return {
                **body,
                "weight_version": self.weight_version(),
                "received": base64.b64encode(received.bitmap).decode(),
            }

        self._call_until_answered(
            "PUT", path, make_body, deadline_at, "the step could not be opened"
        )

    def _pull_samples(
        self, path: str, received: ReceivedSet, deadline_at: float
    ) -> dict[str, Any] | None:
        """Return the response to a pull; None if the step must be reopened."""

        def make_body() -> dict[str, Any]:
            remaining_s = max(0.0, deadline_at - time.monotonic())
            return {
                "route": self.route,
                "weight_version": self.weight_version(),
                "received": base64.b64encode(received.bitmap).decode(),
                "wait": min(PULL_WAIT_S, remaining_s),
            }

        reply = self._call_until_answered(
            "POST", f"{path}/pull", make_body, deadline_at, "the step is not complete"
        )
        return reply.body if reply.status == OK else None

    def _call_until_answered(
        self,
        method: str,
        path: str,
        make_body: Callable[[], dict[str, Any]],
        deadline_at: float,
        failure: str,
    ) -> JsonReply:
        """Retry a call until it succeeds or is refused permanently.

        Returns a response with status 200, or with 404 if the step's owner does not
        know the step. Retries after a failed call go to the next entry VM.

        Raises
        ------
        StepFailedError
            The call was refused permanently, or the deadline passed.
        """
        while time.monotonic() < deadline_at:
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
                if reply.status in PERMANENT_REFUSAL_STATUSES:
                    raise StepFailedError(f"refused with {self._last_failure}")
            time.sleep(RETRY_DELAY_S)
        raise StepFailedError(
            f"{failure} before its deadline; last failure: {self._last_failure}"
        )

    def _call(self, method: str, path: str, body: object) -> JsonReply | None:
        """Send one request to the current entry VM; return None if it fails.

        After a failure the following call goes to the next entry VM. All calls of
        this client are idempotent, so they can be retried safely.
        """
        url = self.urls[self._url_index % len(self.urls)]
        headers = {"Authorization": f"Bearer {self.key}"}
        outcome = call_json(
            method, url + path, body, timeout=CALL_TIMEOUT_S, headers=headers
        )
        if isinstance(outcome, Done):
            return outcome.value
        self._url_index += 1
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
