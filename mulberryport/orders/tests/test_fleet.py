"""Tests of target orders for pools that share one control duty."""

from ...leases import LeaseLostError
from ...outcomes import Done, Unknown
from ...tables import Pool
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
