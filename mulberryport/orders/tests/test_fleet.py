"""Tests of target orders for pools that share one control duty."""

from attrs import evolve

from ...leases import LeaseLostError
from ...outcomes import Done, NotDone, Unknown
from ...tables import Pool
from .. import fleet
from ..fleet import FleetOrderSender, desired_orders

POOL = Pool(name="p", kind="model-engine", zones=("a", "b"), maximum=3)


class Duty:
    """Stand-in for a held duty with a fencing number."""

    active = True
    fencing = 1


def make_sender(answers):
    """Return a sender whose calls return the given answers, its duty and its log."""
    sent = []

    def send(order):
        sent.append((order.zone, order.count))
        answer = answers.pop(0) if answers else Done(True)
        if isinstance(answer, Exception):
            raise answer
        return answer

    duty = Duty()
    return FleetOrderSender(duty, lambda: [POOL], send), duty, sent


def test_orders_are_sent_once_for_each_holder():
    sender, duty, sent = make_sender([])
    sender.send_changed_orders()
    sender.send_changed_orders()
    assert sent == [("a", 3), ("b", 3)]
    duty.fencing = 2
    sender.send_changed_orders()
    assert len(sent) == 4


def test_refused_and_lost_orders_are_tried_again_later():
    sender, _, sent = make_sender([Done(False), Unknown("lost")])
    sender.send_changed_orders()
    sender.send_changed_orders()
    assert len(sent) == 2
    sender._retry_at.clear()
    sender.send_changed_orders()
    assert len(sent) == 4


def test_count_is_ordered_again_once_a_lost_order_cannot_take_effect(monkeypatch):
    # Guards against a wrong number of targets for good: an order without an answer
    # takes effect after a newer one, and nothing can be read back.
    now = 100.0
    monkeypatch.setattr(fleet, "boottime", lambda: now)
    answers = [Unknown("lost"), Done(True), NotDone("no connection")]
    sender, _, sent = make_sender(answers)
    pool = evolve(POOL, zones=("a",))
    sender.pools = lambda: [pool]
    sender.send_changed_orders()
    pool = evolve(pool, maximum=2)
    now += fleet.RETRY_S
    sender.send_changed_orders()
    assert sent == [("a", 3), ("a", 2)]
    now += fleet.ORDER_LIFETIME_S - fleet.RETRY_S - 0.1
    sender.send_changed_orders()
    assert len(sent) == 2
    # The first attempt of the repeated order is not sent.
    now += 0.2
    sender.send_changed_orders()
    sender.send_changed_orders()
    now += fleet.RETRY_S
    sender.send_changed_orders()
    sender.send_changed_orders()
    assert sent == [("a", 3), *[("a", 2)] * 3]


def test_nothing_is_ordered_without_the_duty():
    sender, duty, sent = make_sender([LeaseLostError("lost"), LeaseLostError("lost")])
    duty.active = False
    sender.send_changed_orders()
    assert sent == []
    duty.active = True
    sender.send_changed_orders()
    assert sender._sent == {}


def test_pools_that_are_not_scaled_get_no_orders():
    assert desired_orders(Pool(name="p", kind="plain-service")) == []
