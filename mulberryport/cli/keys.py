"""Commands for API keys: ``key issue`` and ``key withdraw``."""

import re
from typing import Annotated, NoReturn

import cappa
from attrs import define

from ..outcomes import Done, Outcome, Unknown
from ..tables import (
    Accepted,
    issue_key,
    key_digest,
    new_change_id,
    new_key,
    withdraw_key,
)
from .connection import StoreOptions, open_store
from .output import EXIT_UNKNOWN, EXIT_USAGE, exit_with_error, print_json

__all__ = ["KeyCommand"]

# The id of a change that issues a key ends with the id of the key, so that a retry
# can withdraw a key that was never printed.
ISSUE_ID_PATTERN = re.compile(r"[0-9a-f]+-([0-9a-f]{12})")


@cappa.command(name="issue", help="Issue a key to a workspace and print it once.")
@define
class IssueCommand(StoreOptions):
    """Issue a key to a workspace and print it once."""

    workspace: Annotated[str, cappa.Arg(help="Name of the workspace.")] = ""
    change_id: Annotated[
        str,
        cappa.Arg(
            long=True,
            default="",
            help="Change id of an earlier attempt whose outcome is unknown; its key "
            "is withdrawn by the same change.",
        ),
    ] = ""

    def __call__(self) -> None:
        """Run the command; the key is printed only if it is in force."""
        earlier_ids = [text for text in self.change_id.split(",") if text]
        matches = [ISSUE_ID_PATTERN.fullmatch(text) for text in earlier_ids]
        if None in matches:
            exit_with_error(
                f"--change-id: {self.change_id!r} is not the change id of a key issue",
                EXIT_USAGE,
            )
        key = new_key()
        key_id = key_digest(key)[:12]
        change_id = f"{new_change_id()}-{key_id}"
        try:
            _, outcome = issue_key(
                open_store(self),
                self.workspace,
                change_id=change_id,
                key=key,
                replaced_ids=[match[1] for match in matches if match],
            )
        except LookupError as error:
            exit_with_error(str(error.args[0]))
        if not _is_accepted(outcome):
            _exit_not_accepted(
                self,
                outcome,
                ",".join([*earlier_ids, change_id]),
                "no key is printed, since it may not be in force",
            )
        if self.json:
            revision = outcome.value.revision
            print_json({"key": key, "id": key_id, "revision": revision})
        else:
            print(key)


@cappa.command(name="withdraw", help="Withdraw a key by its id.")
@define
class WithdrawCommand(StoreOptions):
    """Withdraw a key by its id."""

    key_id: Annotated[str, cappa.Arg(help="Id of the key, as printed by show.")] = ""
    change_id: Annotated[
        str,
        cappa.Arg(
            long=True,
            default="",
            help="Change id of an earlier attempt whose outcome is unknown.",
        ),
    ] = ""

    def __call__(self) -> None:
        """Run the command."""
        change_id = self.change_id or new_change_id()
        try:
            outcome = withdraw_key(open_store(self), self.key_id, change_id=change_id)
        except LookupError as error:
            exit_with_error(str(error.args[0]))
        if not _is_accepted(outcome):
            _exit_not_accepted(self, outcome, change_id, "the key may still work")
        if self.json:
            print_json({"id": self.key_id, "revision": outcome.value.revision})
        else:
            print(f"withdrawn in revision {outcome.value.revision}")


@cappa.command(name="key", help="Issue and withdraw keys of workspaces.")
@define
class KeyCommand:
    """Issue and withdraw keys of workspaces."""

    command: cappa.Subcommands[IssueCommand | WithdrawCommand]


def _is_accepted(outcome: Outcome[object]) -> bool:
    return isinstance(outcome, Done) and isinstance(outcome.value, Accepted)


def _exit_not_accepted(
    options: StoreOptions, outcome: Outcome[object], change_id: str, warning: str
) -> NoReturn:
    """End the program for a change that was not accepted or has an unknown outcome."""
    if isinstance(outcome, Done):
        exit_with_error(
            "nothing was changed: the tables kept changing concurrently; try again"
        )
    if not isinstance(outcome, Unknown):
        exit_with_error(f"nothing was changed: {outcome.reason}")
    if options.json:
        print_json({"outcome": "unknown", "change_id": change_id})
    exit_with_error(
        f"outcome unknown: {outcome.reason}\n{warning}; repeat the command with "
        f"--change-id {change_id}",
        EXIT_UNKNOWN,
    )
