"""Tests of the agreement on idempotency keys, over a network that fails."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ...membership import Member, Members
from ...outcomes import Done, NotDone, Unknown
from ...runtime.clock import boottime
from .. import Answer, IdempotencyService, RecordId, Result
from ..records import RECORD_BYTES, Record, RecordState, RecordTable

ZONES = {"vm1": "rosario", "vm2": "parana", "vm3": "santa-fe", "vm4": "rosario"}
KEYS = [RecordId("roads", f"key{n}") for n in range(3)]
ANSWER = Answer(200, "OK", (("A", "1"), ("A", "2")), b"filed")
vms = st.sampled_from(sorted(ZONES))
keys = st.sampled_from(KEYS)


class Fleet(RuleBasedStateMachine):
    """Daemons that claim, finish, restart and lose messages in any order."""

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
            self.services[vm] = self.start(vm)
        self.meet()

    def start(self, vm):
        """Return the service of a daemon without records."""
        members = Members(Member(vm, ZONES[vm], "127.0.0.1:1", self.incarnations[vm]))
        service = IdempotencyService(members, lambda *call: self.transport(vm, *call))
        service.owner.members = members
        return service

    def meet(self):
        """Let all daemons hear each other."""
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
            service.turn()

    def transport(self, source, vm, method, request, timeout):
        """Carry a call, unless the network loses it."""
        if {source, vm} & self.cut:
            return NotDone("cut off")
        service = self.services[vm]
        # A test has one thread: nothing can change while a claim waits.
        if method == "ClaimIdempotency":
            request.wait = 0.0
            reply = service.owner.answer(request)
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
        # The first request with a key is not marked, each further one is.
        retry = key in self.first_sent
        self.first_sent.add(key)
        claim = self.services[vm].claim(key, "other" if other else "same", retry, 0.0)
        if claim.decision == "run":
            self.runs[key] += 1
            self.running.append((vm, self.incarnations[vm], claim))
        if claim.decision == "answered":
            assert claim.answer in (ANSWER, None)

    @rule(result=st.sampled_from([Result.NOT_RUN, Result.ANSWERED, Result.UNKNOWN]))
    def finish(self, result):
        """End the oldest run."""
        if self.running:
            vm, incarnation, claim = self.running.pop(0)
            if self.incarnations[vm] == incarnation:
                answer = ANSWER if result == Result.ANSWERED else None
                self.services[vm].complete(claim, result, answer)
                self.runs[claim.key] -= result == Result.NOT_RUN

    @rule(cut=st.sets(vms, max_size=2), lost=st.sets(vms, max_size=2))
    def network(self, cut, lost):
        """Choose whose calls and replies are lost."""
        self.cut, self.lost_replies = cut, lost

    @rule(vm=vms.filter(lambda vm: vm != "vm3"), planned=st.booleans())
    def restart(self, vm, planned):
        """Replace a daemon; its records are lost unless it was planned."""
        if planned and not self.cut and not self.lost_replies:
            self.services[vm].members.leave()
            self.services[vm].hand_over()
        self.incarnations[vm] += 1
        self.services[vm] = self.start(vm)
        self.meet()

    @invariant()
    def runs_at_most_once(self):
        """Check the invariant."""
        assert max(self.runs.values()) <= 1


Fleet.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=400, stateful_step_count=25
)
# Guards against a second run of a marked retry after lost messages, cut-off owners
# and daemons that were restarted without their records.
TestFleet = Fleet.TestCase


def test_table_stays_within_its_bound():
    # Guards against memory that grows with answers, and against a record that is
    # dropped while a second run would be possible.
    table = RecordTable(limit=20 * RECORD_BYTES)
    kept = 0
    for number in range(40):
        key = RecordId("roads", str(number))
        kept += table.put(key, Record("r", str(number), "vm1", 1, boottime() + 9))
        answer = Answer(200, "OK", (), b"x" * RECORD_BYTES)
        table.change(key, str(number), RecordState.ANSWERED, answer)
        assert table.size <= 20 * RECORD_BYTES
    assert kept == 20
    assert all(table.get(RecordId("roads", str(n))) for n in range(20))
