"""Commands for requests that crashed targets: ``blocked list`` and ``blocked lift``."""

from collections import defaultdict
from collections.abc import Iterator
from typing import Annotated, Any

import cappa
from attrs import define

from ..outcomes import Done, NotDone, Outcome, Unknown
from ..peering import call_address, peer_pb2
from ..quarantine import decode_entry, describe_entry, parse_identity
from ..runtime.http import call_json
from ..settings import InvalidFileError, load_settings
from ..settings.ini import address
from .output import (
    EXIT_FAILED,
    EXIT_UNKNOWN,
    EXIT_USAGE,
    exit_with_error,
    exit_with_faults,
    print_json,
)
from .status import CALL_TIMEOUT_S, fetch_daemon_state

__all__ = ["BlockedCommand"]

PEER_HELP = (
    "Name daemons by the IP addresses and ports of their peer ports instead of their "
    "settings files; for entry daemons on the platform."
)

# Descriptions of suspect and blocked requests.
Descriptions = list[dict[str, Any]]


@cappa.command(name="list", help="List the requests that crashed targets.")
@define
class ListCommand:
    """List the requests that crashed targets, the blocked ones first."""

    daemons: Annotated[
        list[str],
        cappa.Arg(
            num_args=-1,
            value_name="SETTINGS",
            required=True,
            help="Settings files of the daemons to ask, or addresses with --peer.",
        ),
    ]
    peer: Annotated[bool, cappa.Arg(long=True, help=PEER_HELP)] = False
    json: Annotated[bool, cappa.Arg(long=True, help="Print JSON.")] = False

    def __call__(self) -> None:
        """Run the command; exit with status 1 if a daemon cannot be read."""
        fetch = _fetch_from_peer if self.peer else _fetch_from_operator_port
        outcomes = {daemon: fetch(daemon, self.json) for daemon in self.daemons}
        lists = {
            daemon: outcome.value if isinstance(outcome, Done) else None
            for daemon, outcome in outcomes.items()
        }
        if self.json:
            print_json(lists)
        else:
            read_lists = [entries for entries in lists.values() if entries is not None]
            for line in _request_lines(read_lists):
                print(line)
        failures = [
            f"{daemon}: cannot be read: {outcome.reason}"
            for daemon, outcome in outcomes.items()
            if not isinstance(outcome, Done)
        ]
        if failures:
            exit_with_error("\n".join(failures), EXIT_FAILED)


@cappa.command(name="lift", help="Send a blocked request to targets again.")
@define
class LiftCommand:
    """Send a blocked request to targets again.

    The daemon that is asked tells all others.
    """

    daemon: Annotated[
        str,
        cappa.Arg(
            value_name="SETTINGS",
            help="Settings file of any daemon, or its address with --peer.",
        ),
    ]
    identity: Annotated[
        str, cappa.Arg(help="Identity of the request, as printed by list.")
    ]
    peer: Annotated[bool, cappa.Arg(long=True, help=PEER_HELP)] = False
    json: Annotated[bool, cappa.Arg(long=True, help="Print JSON.")] = False

    def __call__(self) -> None:
        """Run the command; exit with status 1 if nothing was lifted."""
        try:
            identity = parse_identity(self.identity)
        except ValueError as error:
            exit_with_error(str(error), EXIT_USAGE)
        lift = _lift_by_peer_port if self.peer else _lift_by_operator_port
        outcome = lift(self.daemon, identity, self.json)
        if isinstance(outcome, Unknown):
            exit_with_error(
                f"outcome unknown: {outcome.reason}\nRepeat the command; a block that "
                "was lifted already is reported as unknown there.",
                EXIT_UNKNOWN,
            )
        if not isinstance(outcome, Done):
            exit_with_error(f"nothing was lifted: {outcome.reason}")
        if self.json:
            print_json({"lifted": identity.hex()})
        else:
            print(f"lifted {identity.hex()}")


@cappa.command(name="blocked", help="List and lift blocks of crashing requests.")
@define
class BlockedCommand:
    """List requests that crashed targets, and lift their blocks."""

    command: cappa.Subcommands[ListCommand | LiftCommand]


def _fetch_from_operator_port(
    settings_file: str, as_json: bool
) -> Outcome[Descriptions]:
    outcome = fetch_daemon_state(settings_file, as_json)
    if not isinstance(outcome, Done):
        return outcome
    state = outcome.value
    if "blocked_requests" not in state:
        return NotDone("the daemon has a version that does not block requests")
    return Done([*state["blocked_requests"], *state["suspect_requests"]])


def _fetch_from_peer(peer_address: str, as_json: bool) -> Outcome[Descriptions]:
    outcome = _call_peer(peer_address, "ListCrashes", peer_pb2.ListCrashesRequest())
    if not isinstance(outcome, Done):
        return outcome
    return Done(
        [describe_entry(decode_entry(entry)) for entry in outcome.value.entries]
    )


def _lift_by_operator_port(
    settings_file: str, identity: bytes, as_json: bool
) -> Outcome[None]:
    try:
        settings = load_settings(settings_file)
    except InvalidFileError as error:
        exit_with_faults(error, as_json)
    outcome = call_json(
        "POST",
        f"http://{settings.vm.operator_address}/blocked/lift",
        {"identity": identity.hex()},
        timeout=CALL_TIMEOUT_S,
        headers={"Authorization": f"Bearer {settings.credentials.operator_token}"},
    )
    if not isinstance(outcome, Done):
        return outcome
    reply = outcome.value
    if reply.status == 200:
        return Done(None)
    error_text = reply.body.get("error") if isinstance(reply.body, dict) else None
    return NotDone(error_text or f"the daemon responded with status {reply.status}")


def _lift_by_peer_port(
    peer_address: str, identity: bytes, as_json: bool
) -> Outcome[None]:
    request = peer_pb2.LiftBlockRequest(identity=identity)
    outcome = _call_peer(peer_address, "LiftBlock", request)
    if not isinstance(outcome, Done):
        return outcome
    if not outcome.value.lifted:
        return NotDone("no crash of this request is known here")
    return Done(None)


def _call_peer(peer_address: str, method: str, request: Any) -> Outcome[Any]:
    try:
        address(peer_address)
    except ValueError as error:
        exit_with_error(f"--peer: {error}", EXIT_USAGE)
    from ..platform.settings import PEER_TOKEN

    return call_address(peer_address, PEER_TOKEN, method, request, CALL_TIMEOUT_S)


def _request_lines(lists: list[Descriptions]) -> Iterator[str]:
    """Describe each request as the daemon does that knows most crashes of it."""
    by_identity: dict[str, Descriptions] = defaultdict(list)
    for entries in lists:
        for entry in entries:
            by_identity[entry["identity"]].append(entry)
    requests = [
        (max(known, key=lambda e: (e["blocked"], e["crashes"])), known)
        for known in by_identity.values()
    ]
    requests.sort(key=lambda r: (not r[0]["blocked"], r[0]["last_crash_age"]))
    if not requests and lists:
        yield "no request is blocked or suspect"
    for entry, known in requests:
        state = "blocked" if entry["blocked"] else "suspect"
        count = sum(e["blocked"] for e in known) if entry["blocked"] else len(known)
        yield (
            f"{entry['identity']} {state} at {count} of {len(lists)} daemons: "
            f"route {entry['route']}, workspace {entry['workspace'] or 'none'}, "
            f"{entry['crashes']} crashes of {', '.join(entry['targets'])}, "
            f"the last {entry['last_crash_age']:.0f} s ago"
        )
