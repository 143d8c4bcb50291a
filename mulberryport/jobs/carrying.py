"""Texts of ended jobs in later jobs of the same workspace and route.

A trainer ends a step when it has read enough groups, and may bring the items of the
others again with a later step. What is left of their texts then goes on where it was,
if the versions of its events fit the later job.
"""

import hashlib
from collections.abc import Iterable, Mapping

import orjson
from attrs import define, field

from ..gateway.paths import AmbiguousPathError, match_route
from ..runtime.clock import boottime
from ..runtime.fairness import yield_if_due
from ..steps import CarriedText
from ..tables import Route
from ..telemetry import define as define_event
from ..telemetry import log
from ..telemetry.metrics import CARRIED_TEXTS
from .generation import Transcript
from .items import JobContext
from .model import COMPLETED, Job, JobItem, JobResult

__all__ = ["ReusedTexts", "keep_texts", "reuse_texts"]

TEXTS_REUSED = define_event(
    940,
    "texts_reused",
    "info",
    "A job brought items of an ended job again; their texts are listed or go on.",
)


TEXTS_KEPT = define_event(
    941,
    "texts_kept",
    "info",
    "The texts of a closed job are kept for later jobs that bring its items again.",
)


@define
class ReusedTexts:
    """Texts of ended jobs that a new job goes on with.

    Parameters
    ----------
    results : list of JobResult
        Results of complete texts.
    transcripts : dict of str to Transcript
        Partial texts, by item id; without events if only the failures count.
    items : set of str
        Ids of the items that an ended job had.
    """

    results: list[JobResult] = field(factory=list)
    transcripts: dict[str, Transcript] = field(factory=dict)
    items: set[str] = field(factory=set)


def keep_texts(
    job: Job,
    results: Iterable[JobResult],
    transcripts: Mapping[str, Transcript],
    context: JobContext,
) -> None:
    """Keep the texts of a closed job, where jobs are scheduled as steps.

    Parameters
    ----------
    results : iterable of JobResult
        Results, listed or not.
    transcripts : mapping of str to Transcript
        Partial texts, by item id.
    """
    kept = 0
    finished = {result.id: result for result in results if result.state == COMPLETED}
    for item in job.items:
        yield_if_due()
        text = _text_of(job, item, finished.get(item.id), transcripts.get(item.id))
        if text is not None and _step_route(job, item, context) is not None:
            context.carried.keep(job.workspace, job.route, item.id, text, boottime())
            kept += 1
    if kept:
        size_bytes = context.carried.size_bytes
        log(TEXTS_KEPT, job=job.id, kept=kept, size_bytes=size_bytes)


def reuse_texts(job: Job, items: Iterable[JobItem], context: JobContext) -> ReusedTexts:
    """Return what is kept of the texts of a job's items, copied.

    Parameters
    ----------
    items : iterable of JobItem
        The items that have neither a result nor a partial text.
    """
    reused = ReusedTexts()
    unfit = 0
    # Nothing else runs meanwhile, so that the job cannot end before its items start.
    for item in items:
        text = context.carried.find(job.workspace, job.route, item.id, boottime())
        if text is None or text.identity != _identity(job, item):
            unfit += text is not None
            continue
        route = _step_route(job, item, context)
        if route is None or route.batch is None:
            continue
        reused.items.add(item.id)
        is_single_version = route.batch.single_version
        if not text.fits(job.oldest_version, is_single_version=is_single_version) or (
            is_single_version and not _may_go_on(text, item, route, context)
        ):
            unfit += 1
            reused.transcripts[item.id] = Transcript(earlier_failures=text.failures)
        elif text.is_complete:
            versions = tuple(sorted(set(text.versions)))
            content = "\n".join(text.events)
            reused.results.append(
                JobResult(item.id, COMPLETED, content, versions, text.score)
            )
        else:
            reused.transcripts[item.id] = Transcript(
                list(text.events),
                list(text.versions),
                software=text.software,
                earlier_failures=text.failures,
            )
    _report(job, reused, unfit)
    return reused


def _report(job: Job, reused: ReusedTexts, unfit: int) -> None:
    finished = len(reused.results)
    partial = sum(1 for text in reused.transcripts.values() if text.events)
    if not finished + partial + unfit:
        return
    log(TEXTS_REUSED, job=job.id, finished=finished, partial=partial, unfit=unfit)
    for outcome, count in (
        ("finished", finished),
        ("partial", partial),
        ("unfit", unfit),
    ):
        if count:
            CARRIED_TEXTS.add({"outcome": outcome}, count)


def _text_of(
    job: Job, item: JobItem, result: JobResult | None, transcript: Transcript | None
) -> CarriedText | None:
    """Return what there is of the text of an item; None if that is nothing."""
    if result is not None:
        return CarriedText(
            identity=_identity(job, item),
            events=(result.text,),
            versions=result.versions,
            is_complete=True,
            score=result.score,
        )
    if transcript is None:
        return None
    failures = transcript.failures + transcript.earlier_failures
    if not transcript.events and not failures:
        return None
    return CarriedText(
        identity=_identity(job, item),
        events=tuple(transcript.events),
        versions=tuple(transcript.versions),
        software=transcript.software,
        failures=failures,
    )


def _identity(job: Job, item: JobItem) -> bytes:
    """Return a digest of everything that determines a text and its score."""
    call = item.scoring
    parts = [job.host, item.path, item.headers, item.group, item.model]
    bodies = [item.body]
    if call is not None:
        parts += [call.id, call.host, call.path]
        bodies.append(call.body)
    digest = hashlib.blake2b(digest_size=16)
    digest.update(orjson.dumps([parts, [len(body) for body in bodies]]))
    for body in bodies:
        digest.update(body)
    return digest.digest()


def _step_route(job: Job, item: JobItem, context: JobContext) -> Route | None:
    """Return the route of an item, if its jobs are scheduled as steps."""
    try:
        route = match_route(context.snapshot().tables, item.path, job.host)
    except AmbiguousPathError:
        # Such an item is given up, with a log line.
        return None
    if route is None or route.batch is None:
        return None
    return route if any(map(context.schedules_steps, route.pools)) else None


def _may_go_on(
    text: CarriedText, item: JobItem, route: Route, context: JobContext
) -> bool:
    """Whether a text of one version is complete, or no target serves a newer one."""
    if text.is_complete:
        return True
    newest = max(text.versions)
    views = context.dispatcher.directory.views(route.pool)
    return all(view.versions.get(item.model, 0) <= newest for view in views)
