"""End-to-end test of the quick start example, with separate processes."""

import subprocess
import sys
from pathlib import Path

EXAMPLE = Path(__file__).parents[3] / "examples" / "quickstart.py"
RUN_TIMEOUT_S = 60


def test_quick_start_completes_in_a_minute():
    # Guards against components that work on their own but not together.
    result = subprocess.run(
        [sys.executable, str(EXAMPLE)],
        capture_output=True,
        text=True,
        timeout=RUN_TIMEOUT_S,
        check=False,
        cwd=EXAMPLE.parents[1],
        env={"PYTHONPATH": str(EXAMPLE.parents[1])},
    )
    assert result.returncode == 0, result.stdout + result.stderr
    assert "48 of 48 samples" in result.stdout
