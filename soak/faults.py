"""Faults, drawn at random from those that the design page names."""

import time
from collections.abc import Callable

import eventlet

from .scene import ENGINES, SERVICES, Scene

__all__ = ["draw_faults"]

STOP_TIMEOUT_S = 40.0


def kill_daemon(scene: Scene) -> None:
    """Kill a daemon and start it again."""
    daemon = scene.generator.choice(scene.fleet.daemons)
    scene.disturbed[daemon.vm] = time.time() + 10
    scene.fleet.kill(daemon.vm)
    eventlet.sleep(scene.generator.uniform(0.5, 4.0))
    scene.fleet.start_process(daemon.vm, "daemon", str(daemon.settings_file))
    scene.disturbed[daemon.vm] = time.time()


def pause_daemon(scene: Scene) -> None:
    """Pause a daemon, sometimes for longer than a lease, and let it go on."""
    daemon = scene.generator.choice(scene.fleet.daemons)
    seconds = scene.generator.choice((2.0, 7.0, 14.0))
    scene.disturbed[daemon.vm] = time.time() + seconds
    scene.fleet.pause(daemon.vm)
    eventlet.sleep(seconds)
    scene.fleet.resume(daemon.vm)
    scene.disturbed[daemon.vm] = time.time()


def replace_daemon(scene: Scene) -> None:
    """Stop a daemon gracefully and start it again."""
    daemon = scene.generator.choice(scene.fleet.daemons)
    scene.disturbed[daemon.vm] = time.time() + STOP_TIMEOUT_S
    started = time.time()
    code = scene.fleet.terminate(daemon.vm, STOP_TIMEOUT_S)
    if code != 0:
        scene.violate(13, f"{daemon.vm} stopped with exit code {code}")
    for call in scene.calls:
        ended_meanwhile = call.daemon == daemon.vm and call.ended >= started
        if ended_meanwhile and call.result == "broken":
            scene.violate(13, f"planned stop of {daemon.vm} cut off {call}")
    scene.fleet.start_process(daemon.vm, "daemon", str(daemon.settings_file))
    scene.disturbed[daemon.vm] = time.time()


def kill_engine(scene: Scene) -> None:
    """Kill an engine and start it again at its address."""
    name = scene.generator.choice(ENGINES[:2])
    scene.fleet.kill(name)
    eventlet.sleep(scene.generator.uniform(0.5, 3.0))
    options = ("--weights", scene.fleet.platform_url, "--pool", "drafting")
    scene.fleet.start_target(name, "engine", *options, address=scene.addresses[name])


def pause_target(scene: Scene) -> None:
    """Pause a target, so that its connections go silent."""
    name = scene.generator.choice((*ENGINES, *SERVICES))
    scene.fleet.pause(name)
    eventlet.sleep(scene.generator.uniform(0.5, 4.0))
    scene.fleet.resume(name)


def mark_leaving(scene: Scene) -> None:
    """Mark a target as leaving for a while."""
    name = scene.generator.choice((*ENGINES, *SERVICES))
    scene.configure(name, leaving=True)
    marked = time.time()
    eventlet.sleep(5.0)
    log = scene.target_log(name)
    for request in log["requests"] if log else ():
        path = request.get("path", "")
        if marked + 3.0 < request["at"] and path != "/load":
            scene.violate(12, f"{name} got work {request['at'] - marked:.1f} s later")
            break
    scene.configure(name, leaving=False)


def store_down(scene: Scene) -> None:
    """Refuse all calls of the store for a while."""
    _fault_store(scene, scene.generator.uniform(2.0, 12.0), down=True)


def store_loses_answers(scene: Scene) -> None:
    """Lose the answers of writes and leases after they took effect."""
    paths = ["/kv/config", "/leases", "/kv/usage", "/usage"]
    _fault_store(scene, 3.0, lose_answers=True, paths=paths)


def store_slow(scene: Scene) -> None:
    """Delay each answer of the store."""
    _fault_store(scene, 4.0, delay=0.8)


def _fault_store(scene: Scene, seconds: float, **faults: object) -> None:
    scene.store_faults(**faults)
    eventlet.sleep(seconds)
    scene.store_faults()


FAULTS: tuple[Callable[[Scene], None], ...] = (
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


def draw_faults(scene: Scene) -> None:
    """Bring about one fault after another, sometimes the same one twice."""
    while scene.running:
        fault = scene.generator.choice(FAULTS)
        at = time.time() - scene.started_at
        scene.faults.append(f"{at:.1f} s {fault.__name__}")
        fault(scene)
        eventlet.sleep(scene.generator.uniform(0.5, 3.0))
