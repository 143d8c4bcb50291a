"""Tests of orders of targets."""

from ...leases import LeaseLostError
from ...outcomes import Done, Unknown
from ...tables import Pool
from ..fleet import FleetOrders, wanted_orders

POOL = Pool(name="p", kind="model-engine", zones=("a", "b"), maximum=3)


class Duty:
    """A duty that is held under a fencing number."""

    active = True
    fencing = 1


def make(answers):
    """Return orders whose calls are answered from a list, and what was sent."""
    sent = []

    def send(order):
        sent.append((order.zone, order.count))
        answer = answers.pop(0) if answers else Done(True)
        if isinstance(answer, Exception):
            raise answer
        return answer

    duty = Duty()
    return FleetOrders(duty, lambda: [POOL], send), duty, sent


def test_orders_are_sent_once_for_each_holder():
    orders, duty, sent = make([])
    orders.turn()
    orders.turn()
    assert sent == [("a", 3), ("b", 3)]
    duty.fencing = 2
    orders.turn()
    assert len(sent) == 4


def test_refused_and_lost_orders_are_tried_again_later():
    orders, _, sent = make([Done(False), Unknown("lost")])
    orders.turn()
    orders.turn()
    assert len(sent) == 2
    orders._retry_at.clear()
    orders.turn()
    assert len(sent) == 4


def test_nothing_is_ordered_without_the_duty():
    orders, duty, sent = make([LeaseLostError("lost"), LeaseLostError("lost")])
    duty.active = False
    orders.turn()
    assert sent == []
    duty.active = True
    orders.turn()
    assert orders._sent == {}


def test_pools_that_are_not_scaled_get_no_orders():
    assert wanted_orders(Pool(name="p", kind="plain-service")) == []
