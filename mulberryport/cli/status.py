"""Commands that show state and logs: ``status``, ``timeline`` and ``explain``."""

from collections import Counter, defaultdict
from collections.abc import Iterator
from typing import Annotated, Any

import cappa
from attrs import define

from ..outcomes import Done, NotDone, Outcome
from ..runtime.http import call_json
from ..settings import InvalidFileError, load_settings
from ..telemetry.explain import entries_with_id, explain
from ..telemetry.timeline import merge_entries, read_log_file, render_entry
from .output import EXIT_FAILED, exit_with_error, exit_with_faults, print_json

__all__ = ["ExplainCommand", "StatusCommand", "TimelineCommand"]

CALL_TIMEOUT_S = 3.0


def fetch_daemon_state(settings_file: str, as_json: bool) -> Outcome[dict[str, Any]]:
    """Return the state that a daemon reports on its operator port."""
    try:
        settings = load_settings(settings_file)
    except InvalidFileError as error:
        exit_with_faults(error, as_json)
    outcome = call_json(
        "GET",
        f"http://{settings.vm.operator_address}/state",
        timeout=CALL_TIMEOUT_S,
        headers={"Authorization": f"Bearer {settings.credentials.operator_token}"},
    )
    if not isinstance(outcome, Done):
        return outcome
    if outcome.value.status != 200 or not isinstance(outcome.value.body, dict):
        return NotDone(f"the daemon responded with status {outcome.value.status}")
    return Done(outcome.value.body)


@cappa.command(name="status", help="Show the state of the fleet, its pools and steps.")
@define
class StatusCommand:
    """Show the state of the fleet, its pools and steps."""

    settings: Annotated[
        list[str],
        cappa.Arg(num_args=-1, help="Settings files of the daemons to query."),
    ]
    json: Annotated[bool, cappa.Arg(long=True, help="Print JSON.")] = False

    def __call__(self) -> None:
        """Run the command; exit with status 1 if a daemon cannot be read."""
        outcomes = {file: fetch_daemon_state(file, self.json) for file in self.settings}
        states = {
            file: outcome.value if isinstance(outcome, Done) else None
            for file, outcome in outcomes.items()
        }
        if self.json:
            print_json(states)
        else:
            available_states = [state for state in states.values() if state is not None]
            for line in [
                *_fleet_lines(available_states),
                *_pool_lines(available_states),
                *_step_lines(available_states),
            ]:
                print(line)
        failures = [
            f"{file}: cannot be read: {outcome.reason}"
            for file, outcome in outcomes.items()
            if not isinstance(outcome, Done)
        ]
        if failures:
            exit_with_error("\n".join(failures), EXIT_FAILED)


def _fleet_lines(states: list[dict[str, Any]]) -> Iterator[str]:
    revisions = sorted({state["revision"] for state in states})
    if revisions:
        revision_list = ", ".join(map(str, revisions))
        yield f"fleet: {len(states)} daemons, revision {revision_list}"
    if len(revisions) > 1:
        yield "  not all daemons have the newest revision"
    for state in states:
        age = state.get("confirmation_age", 0.0)
        confirmed = f"confirmed {age:.1f} s ago" if age < 1e6 else "never confirmed"
        notes = [f"revision {state['revision']}", confirmed]
        if not state.get("store_readable", True):
            notes.append("store unreadable")
        if not state.get("keys_usable", True):
            notes.append("KEYS REFUSED")
        notes.append(f"{len(state['members'])} members")
        notes.append(f"duties: {', '.join(sorted(state['duties'])) or 'none'}")
        yield f"  {state['vm']} ({state['zone']}): {'; '.join(notes)}"


def _pool_lines(states: list[dict[str, Any]]) -> Iterator[str]:
    """Summarise the targets of each pool as all daemons see them.

    A target is healthy if all daemons see it healthy, and leaving if any daemon does.
    """
    targets_by_pool: dict[str, dict[str, list[dict[str, Any]]]] = defaultdict(
        lambda: defaultdict(list)
    )
    for state in states:
        for target in state["targets"]:
            targets_by_pool[target["pool"]][target["id"]].append(target)
    if targets_by_pool:
        yield "pools:"
    for pool, targets in sorted(targets_by_pool.items()):
        healthy = sum(
            all(v["healthy"] for v in target_views) for target_views in targets.values()
        )
        leaving = sum(
            any(v["leaving"] for v in target_views) for target_views in targets.values()
        )
        running = sum(
            v["in_flight"] for target_views in targets.values() for v in target_views
        )
        versions = Counter(
            target_views[-1].get("version") or "none"
            for target_views in targets.values()
        )
        version_counts = ", ".join(
            f"{v} ({n})" for v, n in sorted(versions.items(), key=str)
        )
        yield (
            f"  {pool}: {len(targets)} targets, {healthy} healthy, {leaving} leaving, "
            f"{running} requests in flight; weight versions (targets): {version_counts}"
        )


def _step_lines(states: list[dict[str, Any]]) -> Iterator[str]:
    steps = [(step, state["vm"]) for state in states for step in state["steps"]]
    if steps:
        yield "steps:"
    for step, vm in steps:
        yield f"  {step['step']}: {step['remaining']} samples remain, at {vm}"


@cappa.command(name="timeline", help="Merge the event logs of several processes.")
@define
class TimelineCommand:
    """Merge the event logs of several processes."""

    files: Annotated[
        list[str], cappa.Arg(num_args=-1, help="Log files of the processes.")
    ]
    json: Annotated[bool, cappa.Arg(long=True, help="Print JSON lines.")] = False

    def __call__(self) -> None:
        """Run the command."""
        try:
            entries = merge_entries(read_log_file(file) for file in self.files)
            for entry in entries:
                print(render_entry(entry, self.json))
        except OSError as error:
            exit_with_error(f"{error.filename}: cannot be read: {error.strerror}")


@cappa.command(name="explain", help="Explain the outcome of a request, job or item.")
@define
class ExplainCommand:
    """Explain the outcome of a request, job or item."""

    id: Annotated[str, cappa.Arg(help="Id of the request, job or item.")]
    logs: Annotated[list[str], cappa.Arg(num_args=-1, help="Log files.")]
    json: Annotated[bool, cappa.Arg(long=True, help="Print JSON.")] = False

    def __call__(self) -> None:
        """Run the command; exit with status 1 if no entry contains the id."""
        try:
            logs = [read_log_file(path) for path in self.logs]
        except OSError as error:
            exit_with_error(f"{error.filename}: cannot be read: {error.strerror}")
        entries = entries_with_id(merge_entries(logs), self.id)
        if not entries:
            exit_with_error(f"no log line contains {self.id}")
        for entry in entries:
            print(render_entry(entry, self.json))
        if not self.json:
            print(explain(entries))
