"""Jobs as files that survive a power loss.

A file is complete once its content and its name were synced; a file that was torn by a
power loss fails its checksum and is dropped, since it was never acknowledged.
"""

import os
from collections.abc import Iterator
from pathlib import Path

import xxhash
from attrs import define

from ..telemetry import define as define_event
from ..telemetry import log

__all__ = ["JobFolder"]

FILE_TORN = define_event(
    960, "journal_file_torn", "warning", "A file was incomplete and was dropped."
)

SUFFIX = ".job"
PARTIAL_SUFFIX = ".part"
DIGEST_BYTES = 16


@define(eq=False)
class JobFolder:
    """A folder with one file for each job.

    Parameters
    ----------
    path : Path
        The folder; it is made if it does not exist.
    """

    path: Path

    def __attrs_post_init__(self) -> None:
        """Make the folder and drop files that were never completed."""
        self.path.mkdir(parents=True, exist_ok=True)
        for part in self.path.glob(f"*{PARTIAL_SUFFIX}"):
            part.unlink()

    def keep(self, job_id: str, content: bytes) -> None:
        """Keep a job; it survives a power loss when the call returns.

        Raises
        ------
        OSError
            The disk is full or failed; nothing is kept.
        """
        target = self._file(job_id)
        if target.exists():
            return
        part = target.with_suffix(PARTIAL_SUFFIX)
        try:
            with open(part, "wb") as file:
                file.write(xxhash.xxh3_128_digest(content) + content)
                file.flush()
                os.fsync(file.fileno())
            os.rename(part, target)
            self._sync_names()
        except OSError:
            part.unlink(missing_ok=True)
            raise

    def drop(self, job_id: str) -> None:
        """Keep a job no longer."""
        self._file(job_id).unlink(missing_ok=True)

    def jobs(self) -> Iterator[tuple[Path, bytes]]:
        """Yield file and content of each job; torn files are dropped."""
        for file in sorted(self.path.glob(f"*{SUFFIX}")):
            stored = file.read_bytes()
            content = stored[DIGEST_BYTES:]
            if stored[:DIGEST_BYTES] == xxhash.xxh3_128_digest(content):
                yield file, content
            else:
                log(FILE_TORN, file=file.name)
                file.unlink()

    def __len__(self) -> int:
        return sum(1 for _ in self.path.glob(f"*{SUFFIX}"))

    def _file(self, job_id: str) -> Path:
        # Ids come from callers and need not be names of files.
        name = xxhash.xxh3_128_hexdigest(job_id.encode())
        return self.path / f"{name}{SUFFIX}"

    def _sync_names(self) -> None:
        folder = os.open(self.path, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
