"""Tests of target orders by a daemon that has read no configuration."""

from types import SimpleNamespace

from ...tables import Snapshot
from ...targets import TargetDirectory
from ...targets.vm_list import ListedVm
from ..service import OrderService


class DutyManager:
    """Records the duties that a daemon contends for; none is ever held."""

    def __init__(self):
        self.contended = []

    def contend_for(self, name):
        """Return a duty that is not held."""
        self.contended.append(name)
        return SimpleNamespace(is_held=False)


def test_no_orders_are_placed_before_a_configuration_was_read():
    # Guards against a daemon that takes all pools for removed and orders no targets for
    # them, because it has the list of targets but no configuration yet.
    directory, duties = TargetDirectory(), DutyManager()
    directory.apply_vm_list([ListedVm("d1", "127.0.0.1:1", "a", "desk", False, False)])
    service = OrderService(None, duties, directory, None, "")
    service.reconcile()
    assert duties.contended == []
    directory.apply_snapshot(Snapshot(1, "first"))
    service.reconcile()
    assert duties.contended == ["orders/a"]
