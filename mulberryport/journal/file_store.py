"""Crash-safe storage of jobs as files.

A write is durable once the file and its directory entry are synced. A file torn by a
power loss fails its checksum and is deleted, since its write was never acknowledged.
"""

import os
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import xxhash
from attrs import define

from ..telemetry import define as define_event
from ..telemetry import log

__all__ = ["JobFileStore"]

FILE_TORN = define_event(
    960, "journal_file_torn", "warning", "An incomplete journal file was deleted."
)

SUFFIX = ".job"
PARTIAL_SUFFIX = ".part"
DIGEST_BYTES = 16


@define(eq=False)
class JobFileStore:
    """A directory with one file per job.

    Parameters
    ----------
    path : Path
        The directory; it is created if it does not exist.
    """

    path: Path

    def __attrs_post_init__(self) -> None:
        """Create the directory and delete files whose write was not completed."""
        self.path.mkdir(parents=True, exist_ok=True)
        for partial_file in self.path.glob(f"*{PARTIAL_SUFFIX}"):
            partial_file.unlink()

    def persist(self, job_id: str, content: bytes) -> None:
        """Write a job durably; it survives a power loss once the call returns.

        Raises
        ------
        OSError
            The disk is full or failed; nothing is stored.
        """
        final_file = self._file_path(job_id)
        if final_file.exists():
            return
        partial_file = final_file.with_suffix(PARTIAL_SUFFIX)
        try:
            with open(partial_file, "wb") as file:
                file.write(xxhash.xxh3_128_digest(content) + content)
                file.flush()
                os.fsync(file.fileno())
            os.rename(partial_file, final_file)
            self._sync_directory()
        except OSError:
            partial_file.unlink(missing_ok=True)
            raise

    def holds(self, job_id: str) -> bool:
        """Return whether a job is stored."""
        return self._file_path(job_id).exists()

    def delete(self, job_id: str) -> None:
        """Delete a job."""
        self._file_path(job_id).unlink(missing_ok=True)

    def jobs(
        self,
        is_wanted: Callable[[Path], bool] = lambda file: True,
        order: Callable[[Path], Any] | None = None,
    ) -> Iterator[tuple[Path, bytes]]:
        """Yield the path and content of each wanted job, deleting torn files.

        Only one job is in memory at a time.

        Parameters
        ----------
        is_wanted : callable
            Returns whether to yield the job in a file.
        order : callable or None
            Returns the key of a file to sort by; None to sort by name.
        """
        files = sorted(self.path.glob(f"*{SUFFIX}"), key=order)
        for file in filter(is_wanted, files):
            stored = file.read_bytes()
            content = stored[DIGEST_BYTES:]
            if stored[:DIGEST_BYTES] == xxhash.xxh3_128_digest(content):
                yield file, content
            else:
                log(FILE_TORN, file=file.name)
                file.unlink()

    def __len__(self) -> int:
        return sum(1 for _ in self.path.glob(f"*{SUFFIX}"))

    def _file_path(self, job_id: str) -> Path:
        # Hashes the id, since callers choose it and it may not be a valid file name.
        name = xxhash.xxh3_128_hexdigest(job_id.encode())
        return self.path / f"{name}{SUFFIX}"

    def _sync_directory(self) -> None:
        directory_fd = os.open(self.path, os.O_RDONLY)
        try:
            os.fsync(directory_fd)
        finally:
            os.close(directory_fd)
