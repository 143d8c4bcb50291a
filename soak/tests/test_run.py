"""A short soak run with a fixed seed."""

import subprocess
import sys

RUN_TIMEOUT_S = 150


def test_no_promise_is_broken_in_a_short_run():
    # Guards all promises at once against kills, pauses, outages and races. bin/soak
    # makes longer runs with other seeds.
    arguments = ["--seed", "4", "--seconds", "20"]
    result = subprocess.run(
        [sys.executable, "-m", "soak", *arguments],
        capture_output=True,
        text=True,
        timeout=RUN_TIMEOUT_S,
        check=False,
    )
    assert result.returncode == 0, result.stdout + result.stderr
