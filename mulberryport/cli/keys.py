"""Commands on keys: ``key issue`` and ``key withdraw``."""

from typing import Annotated

import cappa
from attrs import define

from ..tables import (
    RevisionConflict,
    issue_key,
    key_digest,
    new_change_id,
    withdraw_key,
)
from .connection import StoreOptions, open_store
from .output import fail, print_json, unwrap

__all__ = ["KeyCommand"]


@cappa.command(name="issue", help="Issue a key to a workspace and print it once.")
@define
class IssueCommand(StoreOptions):
    """Issue a key to a workspace and print it once."""

    workspace: Annotated[str, cappa.Arg(help="Name of the workspace.")] = ""

    def __call__(self) -> None:
        """Run the command."""
        store = open_store(self)
        try:
            key, outcome = issue_key(store, self.workspace, change_id=new_change_id())
        except LookupError as error:
            fail(str(error.args[0]))
        accepted = unwrap(outcome)
        if isinstance(accepted, RevisionConflict):
            fail("the tables keep changing; try again")
        if self.json:
            key_id = key_digest(key)[:12]
            print_json({"key": key, "id": key_id, "revision": accepted.revision})
        else:
            print(key)


@cappa.command(name="withdraw", help="Withdraw the key with an id.")
@define
class WithdrawCommand(StoreOptions):
    """Withdraw the key with an id."""

    key_id: Annotated[str, cappa.Arg(help="Id of the key, from show.")] = ""

    def __call__(self) -> None:
        """Run the command."""
        store = open_store(self)
        try:
            outcome = withdraw_key(store, self.key_id, change_id=new_change_id())
        except LookupError as error:
            fail(str(error.args[0]))
        accepted = unwrap(outcome)
        if isinstance(accepted, RevisionConflict):
            fail("the tables keep changing; try again")
        if self.json:
            print_json({"id": self.key_id, "revision": accepted.revision})
        else:
            print(f"withdrawn in revision {accepted.revision}")


@cappa.command(name="key", help="Issue and withdraw keys of workspaces.")
@define
class KeyCommand:
    """Issue and withdraw keys of workspaces."""

    command: cappa.Subcommands[IssueCommand | WithdrawCommand]
