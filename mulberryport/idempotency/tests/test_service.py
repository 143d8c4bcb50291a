"""Tests of the agreement on idempotency keys over an unreliable network."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ...membership import Member, Members
from ...outcomes import Done, NotDone, Unknown
from ...runtime.clock import boottime
from .. import IdempotencyService, RecordKey, Result, StoredResponse
from ..records import RECORD_OVERHEAD_BYTES, Record, RecordState, RecordTable

ZONES = {"vm1": "rosario", "vm2": "parana", "vm3": "santa-fe", "vm4": "rosario"}
KEYS = [RecordKey("roads", f"key{n}") for n in range(3)]
RESPONSE = StoredResponse(200, "OK", (("A", "1"), ("A", "2")), b"filed")
vms = st.sampled_from(sorted(ZONES))
keys = st.sampled_from(KEYS)


class Fleet(RuleBasedStateMachine):
    """Daemons that claim keys, finish runs, restart and lose messages in any order."""

    def __init__(self):
        super().__init__()
        self.incarnations = dict.fromkeys(ZONES, 1)
        self.services = {}
        self.cut = set()
        self.lost_replies = set()
        self.first_sent = set()
        self.running = []
        self.runs = dict.fromkeys(KEYS, 0)
        for vm in ZONES:
            self.services[vm] = self.start_daemon(vm)
        self.exchange_heartbeats()

    def start_daemon(self, vm):
        """Return the service of a newly started daemon, without records."""
        members = Members(Member(vm, ZONES[vm], "127.0.0.1:1", self.incarnations[vm]))
        service = IdempotencyService(members, lambda *call: self.transport(vm, *call))
        service.coordinator.members = members
        return service

    def exchange_heartbeats(self):
        """Make every daemon record a heartbeat of each other daemon."""
        for vm, service in self.services.items():
            for other, incarnation in self.incarnations.items():
                if other != vm:
                    service.members.record_heartbeat(
                        Member(
                            other,
                            ZONES[other],
                            "127.0.0.1:1",
                            incarnation,
                            heard_at=boottime() + 600,
                        )
                    )
            service.run_once()

    def transport(self, source, vm, method, request, timeout):
        """Deliver a call, unless the simulated network loses it or its reply."""
        if {source, vm} & self.cut:
            return NotDone("cut off")
        service = self.services[vm]
        # The test is single-threaded, so no record can change while a claim waits.
        if method == "ClaimIdempotency":
            request.wait = 0.0
            reply = service.coordinator.handle_claim(request)
        elif method == "CompleteIdempotency":
            reply = service._serve_complete(request)
        else:
            request.sender.vm = source
            request.sender.incarnation = self.incarnations[source]
            reply = service._serve_hand_over(request)
        return Unknown("reply lost") if vm in self.lost_replies else Done(reply)

    @rule(vm=vms, key=keys, other=st.booleans())
    def request(self, vm, key, other):
        """Send a request with a key to a daemon."""
        # Every request with a key except the first is marked as a retry.
        retry = key in self.first_sent
        self.first_sent.add(key)
        claim = self.services[vm].claim(key, "other" if other else "same", retry, 0.0)
        if claim.decision == "run":
            self.runs[key] += 1
            self.running.append((vm, self.incarnations[vm], claim))
        if claim.decision == "answered":
            assert claim.response in (RESPONSE, None)

    @rule(result=st.sampled_from([Result.NOT_RUN, Result.ANSWERED, Result.UNKNOWN]))
    def finish(self, result):
        """End the oldest run."""
        if self.running:
            vm, incarnation, claim = self.running.pop(0)
            if self.incarnations[vm] == incarnation:
                response = RESPONSE if result == Result.ANSWERED else None
                self.services[vm].complete(claim, result, response)
                self.runs[claim.key] -= result == Result.NOT_RUN

    @rule(cut=st.sets(vms, max_size=2), lost=st.sets(vms, max_size=2))
    def network(self, cut, lost):
        """Choose the daemons that are cut off and those whose replies are lost."""
        self.cut, self.lost_replies = cut, lost

    @rule(vm=vms.filter(lambda vm: vm != "vm3"), planned=st.booleans())
    def restart(self, vm, planned):
        """Restart a daemon; its records are lost unless the restart was planned."""
        if planned and not self.cut and not self.lost_replies:
            self.services[vm].members.leave()
            self.services[vm].hand_over()
        self.incarnations[vm] += 1
        self.services[vm] = self.start_daemon(vm)
        self.exchange_heartbeats()

    @invariant()
    def runs_at_most_once(self):
        """Check that no key has more than one run."""
        assert max(self.runs.values()) <= 1


Fleet.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=400, stateful_step_count=25
)
# Guards against a second run by a marked retry after lost messages, cut-off owners
# and restarts of daemons that lost their records.
TestFleet = Fleet.TestCase


def test_table_stays_within_its_bound():
    # Guards against memory use that grows with the stored responses, and against
    # evicting a record, which would allow a second run.
    table = RecordTable(limit=20 * RECORD_OVERHEAD_BYTES)
    kept = 0
    for number in range(40):
        key = RecordKey("roads", str(number))
        kept += table.put(key, Record("r", str(number), "vm1", 1, boottime() + 9))
        response = StoredResponse(200, "OK", (), b"x" * RECORD_OVERHEAD_BYTES)
        table.set_result(key, str(number), RecordState.ANSWERED, response)
        assert table.size <= 20 * RECORD_OVERHEAD_BYTES
    assert kept == 20
    assert all(table.get(RecordKey("roads", str(n))) for n in range(20))
