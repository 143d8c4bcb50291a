"""Random injection of the faults that the design page names."""

import time
from collections.abc import Callable

import eventlet

from .fleet_run import ENGINES, SERVICES, SoakRun

__all__ = ["inject_faults"]

STOP_TIMEOUT_S = 40.0


def kill_daemon(run: SoakRun) -> None:
    """Kill a daemon and restart it."""
    daemon = run.generator.choice(run.fleet.daemons)
    run.disturbed_until[daemon.vm] = time.time() + 10
    run.fleet.kill(daemon.vm)
    eventlet.sleep(run.generator.uniform(0.5, 4.0))
    run.fleet.start_process(daemon.vm, "daemon", str(daemon.settings_file))
    run.disturbed_until[daemon.vm] = time.time()


def pause_daemon(run: SoakRun) -> None:
    """Pause a daemon, in some cases for longer than a lease, and resume it."""
    daemon = run.generator.choice(run.fleet.daemons)
    seconds = run.generator.choice((2.0, 7.0, 14.0))
    run.disturbed_until[daemon.vm] = time.time() + seconds
    run.fleet.pause(daemon.vm)
    eventlet.sleep(seconds)
    run.fleet.resume(daemon.vm)
    run.disturbed_until[daemon.vm] = time.time()


def replace_daemon(run: SoakRun) -> None:
    """Stop a daemon gracefully and restart it."""
    daemon = run.generator.choice(run.fleet.daemons)
    run.disturbed_until[daemon.vm] = time.time() + STOP_TIMEOUT_S
    stop_started = time.time()
    exit_code = run.fleet.terminate(daemon.vm, STOP_TIMEOUT_S)
    if exit_code != 0:
        run.record_violation(13, f"{daemon.vm} stopped with exit code {exit_code}")
    for call in run.calls:
        ended_during_stop = call.daemon == daemon.vm and call.ended >= stop_started
        if ended_during_stop and call.result == "broken":
            run.record_violation(13, f"graceful stop of {daemon.vm} interrupted {call}")
    run.fleet.start_process(daemon.vm, "daemon", str(daemon.settings_file))
    run.disturbed_until[daemon.vm] = time.time()


def kill_engine(run: SoakRun) -> None:
    """Kill an engine and restart it at the same address."""
    name = run.generator.choice(ENGINES[:2])
    run.fleet.kill(name)
    eventlet.sleep(run.generator.uniform(0.5, 3.0))
    options = ("--weights", run.fleet.platform_url, "--pool", "drafting")
    run.fleet.start_target(name, "engine", *options, address=run.addresses[name])


def pause_target(run: SoakRun) -> None:
    """Pause a target so that its connections stay open without data."""
    name = run.generator.choice((*ENGINES, *SERVICES))
    run.fleet.pause(name)
    eventlet.sleep(run.generator.uniform(0.5, 4.0))
    run.fleet.resume(name)


def mark_leaving(run: SoakRun) -> None:
    """Mark a target as leaving for 5 s and check that it gets no new work."""
    name = run.generator.choice((*ENGINES, *SERVICES))
    run.configure_target(name, leaving=True)
    marked_at = time.time()
    eventlet.sleep(5.0)
    log = run.fetch_target_log(name)
    for request in log["requests"] if log else ():
        path = request.get("path", "")
        if marked_at + 3.0 < request["at"] and path != "/load":
            run.record_violation(
                12,
                f"{name} got work {request['at'] - marked_at:.1f} s "
                f"after it was marked as leaving",
            )
            break
    run.configure_target(name, leaving=False)


def store_down(run: SoakRun) -> None:
    """Make the store refuse all calls for 2 to 12 s."""
    _inject_store_fault(run, run.generator.uniform(2.0, 12.0), down=True)


def store_loses_answers(run: SoakRun) -> None:
    """Drop the answers of writes and lease calls that took effect."""
    paths = ["/kv/config", "/leases", "/kv/usage", "/usage"]
    _inject_store_fault(run, 3.0, lose_answers=True, paths=paths)


def store_slow(run: SoakRun) -> None:
    """Delay every answer of the store."""
    _inject_store_fault(run, 4.0, delay=0.8)


def _inject_store_fault(run: SoakRun, seconds: float, **faults: object) -> None:
    run.set_platform_faults(**faults)
    eventlet.sleep(seconds)
    run.set_platform_faults()


FAULTS: tuple[Callable[[SoakRun], None], ...] = (
    kill_daemon,
    pause_daemon,
    replace_daemon,
    kill_engine,
    pause_target,
    mark_leaving,
    store_down,
    store_loses_answers,
    store_slow,
)


def inject_faults(run: SoakRun) -> None:
    """Inject one random fault after another; the same fault may repeat."""
    while run.is_running:
        fault = run.generator.choice(FAULTS)
        at = time.time() - run.started_at
        run.fault_log.append(f"{at:.1f} s {fault.__name__}")
        fault(run)
        eventlet.sleep(run.generator.uniform(0.5, 3.0))
