"""Commands that read running daemons: ``status`` and ``timeline``."""

from typing import Annotated, Any

import cappa
from attrs import define

from ..outcomes import Done
from ..runtime.http import call_json
from ..settings import InvalidFileError, load_settings
from ..telemetry.timeline import merge_entries, read_log_file, render_entry
from .output import EXIT_FAILED, fail, print_json, report_faults

__all__ = ["StatusCommand", "TimelineCommand"]

CALL_TIMEOUT_S = 3.0


def fetch_operator(path: str, settings_file: str) -> Any:
    """Return the answer of a daemon's operator port, or None if it is unreachable."""
    try:
        settings = load_settings(settings_file)
    except InvalidFileError as error:
        report_faults(error, False)
    outcome = call_json(
        "GET",
        f"http://{settings.vm.operator_address}{path}",
        timeout=CALL_TIMEOUT_S,
        headers={"Authorization": f"Bearer {settings.credentials.operator_token}"},
    )
    return outcome.value.body if isinstance(outcome, Done) else None


@cappa.command(name="status", help="Show the state of fleet, pools and steps.")
@define
class StatusCommand:
    """Show the state of fleet, pools and steps."""

    settings: Annotated[
        list[str], cappa.Arg(num_args=-1, help="Settings files of the daemons to ask.")
    ]
    json: Annotated[bool, cappa.Arg(long=True, help="Print JSON.")] = False

    def __call__(self) -> None:
        """Run the command; exit with 1 if a daemon cannot be reached."""
        states = {file: fetch_operator("/state", file) for file in self.settings}
        if self.json:
            print_json(states)
        for file, state in states.items():
            if self.json:
                continue
            if state is None:
                print(f"{file}: cannot be reached")
                continue
            print(
                f"{state['vm']} ({state['zone']}): revision {state['revision']}, "
                f"{len(state['members'])} members, duties: "
                f"{', '.join(state['duties']) or 'none'}"
            )
            for target in state["targets"]:
                print(f"  target {target['id']}: {target}")
            for step in state["steps"]:
                print(f"  step {step['step']}: {step['remaining']} remaining")
        if None in states.values():
            raise cappa.Exit(code=EXIT_FAILED)


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
        except OSError as error:
            fail(f"{error.filename}: cannot be read: {error.strerror}")
        for entry in entries:
            print(render_entry(entry, self.json))
