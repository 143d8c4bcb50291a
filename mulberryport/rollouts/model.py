"""Steps, groups and samples."""

from attrs import evolve, field, frozen

__all__ = ["GroupSpec", "Sample", "StepId", "StepSpec", "VersionSpan"]


@frozen
class StepId:
    """Identity of a step: a workspace's trainer and the number of the step."""

    workspace: str
    trainer: str
    step: int

    @property
    def key(self) -> str:
        """Text that determines the owner of the step."""
        return f"{self.workspace}/{self.trainer}/{self.step}"


@frozen
class GroupSpec:
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
class StepSpec:
    """What a trainer asks for.

    Parameters
    ----------
    id : StepId
        Identity.
    route : str
        Route that admitted the trainer.
    pool : str
        Pool of model engines.
    staleness_bound : int
        Weight versions by which a sample may be behind its trainer.
    weight_version : int
        Version of the trainer when it opened the step.
    groups : tuple of GroupSpec
        What to generate.
    scoring_route : str
        Route of the scoring service; empty if samples are not scored.
    """

    id: StepId
    route: str
    pool: str
    staleness_bound: int
    weight_version: int
    groups: tuple[GroupSpec, ...]
    scoring_route: str = ""

    @property
    def slots(self) -> int:
        """The number of samples of the step."""
        return sum(group.samples for group in self.groups)

    def same_request(self, other: "StepSpec") -> bool:
        """Whether another specification asks for the same samples.

        The trainer's version and the route's pool may have changed since.
        """
        return self == evolve(other, weight_version=self.weight_version, pool=self.pool)


@frozen
class VersionSpan:
    """A run of tokens that one weight version produced."""

    version: int
    tokens: int


@frozen
class Sample:
    """A finished sample.

    Parameters
    ----------
    group, index : int
        Its slot.
    tokens : tuple of str
        The text.
    spans : tuple of VersionSpan
        Weight versions that produced it, in order, as the engine attested them.
    target : str
        Where it was generated.
    score : float or None
        Of the scoring service, if the step names one.
    """

    group: int
    index: int
    tokens: tuple[str, ...] = field(repr=False)
    spans: tuple[VersionSpan, ...]
    target: str
    score: float | None = None

    @property
    def oldest_version(self) -> int:
        """The oldest weight version in the sample."""
        return min(span.version for span in self.spans)

    def scored(self, score: float) -> "Sample":
        """Return the sample with its score."""
        return evolve(self, score=score)
