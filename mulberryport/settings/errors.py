"""Faults of INI files, reported all at once."""

from attrs import frozen

__all__ = ["FileFault", "InvalidFileError"]


@frozen
class FileFault:
    """One fault of an INI file.

    Parameters
    ----------
    file : str
        Path of the file, or the name of another source.
    section : str
        Section, without brackets; empty for the whole file.
    key : str
        Key within the section; empty for the whole section.
    message : str
        What is wrong and what is accepted.
    """

    file: str
    section: str
    key: str
    message: str

    def __str__(self) -> str:
        """Return the place and the message on one line."""
        place = self.file
        if self.section:
            place += f": [{self.section}]"
        if self.key:
            place += f" {self.key}"
        return f"{place}: {self.message}"


class FaultError(ValueError):
    """One fault, as a member of an exception group."""

    def __init__(self, fault: FileFault) -> None:
        super().__init__(str(fault))
        self.fault = fault


class InvalidFileError(ExceptionGroup):
    """All faults of one file.

    Examples
    --------
    >>> error = InvalidFileError.of([FileFault("a.ini", "vm", "zone", "is missing")])
    >>> [str(fault) for fault in error.faults]
    ['a.ini: [vm] zone: is missing']
    """

    @classmethod
    def of(cls, faults: list[FileFault]) -> "InvalidFileError":
        """Return the group of a list of faults, which must not be empty."""
        return cls(f"{len(faults)} faults", [FaultError(fault) for fault in faults])

    @property
    def faults(self) -> list[FileFault]:
        """The faults, in the order of the file."""
        return [error.fault for error in self.exceptions]

    def derive(self, excs: list[Exception]) -> "InvalidFileError":
        """Return a group of the same type over other members."""
        return InvalidFileError(self.message, excs)
