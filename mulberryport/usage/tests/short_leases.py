"""The program with leases of 1.5 s and an optional pause after a lease check.

Tests run it instead of the program itself, so that a change of holders takes only
seconds. If the file ``pause-at-guard`` exists beside the log of a daemon and contains
the name of a duty, the daemon stops itself once (SIGSTOP), right after the guard of
that duty has permitted an operation.
"""

import os
import signal
import sys
from pathlib import Path

from mulberryport.runtime.hub import install_eventlet

install_eventlet()

from mulberryport.cli import main  # noqa: E402
from mulberryport.leases import duty, manager  # noqa: E402
from mulberryport.leases.duty import Duty  # noqa: E402
from mulberryport.usage.tests.builders import pause_file  # noqa: E402

TTL_S = 1.5


def install_pause(file: Path) -> None:
    """Stop this process after the next guard of the duty named in a file."""
    original_guard = Duty.guard

    def guard(self: Duty, seconds: float = 0.0) -> None:
        original_guard(self, seconds)
        if seconds and file.exists() and file.read_text() == self.name:
            file.unlink()
            os.kill(os.getpid(), signal.SIGSTOP)

    Duty.guard = guard


if __name__ == "__main__":
    from mulberryport.orders import service
    from mulberryport.usage import reporter

    for module in (duty, manager):
        module.LEASE_TTL_S = TTL_S
    duty.LEASE_MARGIN_S = 0.3
    manager.RENEWAL_PERIOD_S = 0.3
    service.ORDER_LIFETIME_S = 0.5
    service.ORDER_TIMEOUT_S = 0.4
    service.TAKEOVER_DELAY_S = TTL_S + service.ORDER_LIFETIME_S
    service.READ_BACK_PERIOD_S = 2.0
    reporter.SEND_TIMEOUT_S = 0.4
    if sys.argv[1] == "daemon":
        install_pause(pause_file(sys.argv[2]))
    main()
