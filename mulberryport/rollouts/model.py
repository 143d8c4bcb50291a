"""Data model of steps, groups and samples."""

from attrs import evolve, field, frozen

__all__ = ["GroupSpec", "Sample", "StepId", "StepSpec", "VersionSpan"]


@frozen
class StepId:
    """Identity of a step: workspace, trainer and step number."""

    workspace: str
    trainer: str
    step: int

    @property
    def key(self) -> str:
        """Key that determines the owners of the step."""
        return f"{self.workspace}/{self.trainer}/{self.step}"


@frozen
class GroupSpec:
    """Specification of the samples of one prompt.

    Parameters
    ----------
    prompt : str
        Prompt that all samples of the group share.
    samples : int
        Number of samples to generate.
    max_tokens : int
        Number of tokens of each sample.
    """

    prompt: str
    samples: int
    max_tokens: int


@frozen
class StepSpec:
    """Specification of a step, as requested by a trainer.

    Parameters
    ----------
    id : StepId
        Identity of the step.
    route : str
        Route that the trainer is authorized for.
    pool : str
        Pool of model engines.
    staleness_bound : int
        Maximum number of weight versions that a sample may lag behind the trainer.
    weight_version : int
        Weight version of the trainer when it opened the step.
    groups : tuple of GroupSpec
        Groups of samples to generate.
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
    def slot_count(self) -> int:
        """Number of slots of the step, one for each sample."""
        return sum(group.samples for group in self.groups)

    def requests_same_samples(self, other: "StepSpec") -> bool:
        """Return whether another specification requests the same samples.

        The trainer's weight version and the pool of the route may differ.
        """
        return self == evolve(other, weight_version=self.weight_version, pool=self.pool)


@frozen
class VersionSpan:
    """Consecutive tokens that were produced by one weight version."""

    version: int
    tokens: int


@frozen
class Sample:
    """A finished sample.

    Parameters
    ----------
    group, index : int
        Group and index, which identify the slot.
    tokens : tuple of str
        Generated tokens.
    spans : tuple of VersionSpan
        Weight versions that produced the tokens, in order, as attested by the engines.
    target : str
        Ids of the targets that generated the sample, separated by commas.
    score : float or None
        Score from the scoring service; None if the step has no scoring route.
    """

    group: int
    index: int
    tokens: tuple[str, ...] = field(repr=False)
    spans: tuple[VersionSpan, ...]
    target: str
    score: float | None = None

    @property
    def oldest_version(self) -> int:
        """Oldest weight version in the sample."""
        return min(span.version for span in self.spans)

    def with_score(self, score: float) -> "Sample":
        """Return a copy of the sample with a score."""
        return evolve(self, score=score)
