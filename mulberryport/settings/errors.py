"""Diagnostics of INI files, collected so that all are reported at once."""

from attrs import frozen

__all__ = ["Diagnostic", "InvalidFileError"]


@frozen
class Diagnostic:
    """One error found in an INI file.

    Parameters
    ----------
    file : str
        Path of the file, or a name for a source that is not a file.
    section : str
        Section name without brackets; empty if the error concerns the whole file.
    key : str
        Key within the section; empty if the error concerns the whole section.
    message : str
        What is wrong and which values are accepted.
    """

    file: str
    section: str
    key: str
    message: str

    def __str__(self) -> str:
        """Return the location and the message on one line."""
        location = self.file
        if self.section:
            location += f": [{self.section}]"
        if self.key:
            location += f" {self.key}"
        return f"{location}: {self.message}"


class DiagnosticError(ValueError):
    """Exception that carries one diagnostic within an exception group."""

    def __init__(self, diagnostic: Diagnostic) -> None:
        super().__init__(str(diagnostic))
        self.diagnostic = diagnostic


class InvalidFileError(ExceptionGroup):
    """Exception group with every diagnostic of one file.

    Examples
    --------
    >>> error = InvalidFileError.of([Diagnostic("a.ini", "vm", "zone", "is missing")])
    >>> [str(diagnostic) for diagnostic in error.diagnostics]
    ['a.ini: [vm] zone: is missing']
    """

    @classmethod
    def of(cls, diagnostics: list[Diagnostic]) -> "InvalidFileError":
        """Return a group of these diagnostics; the list must not be empty."""
        return cls(
            f"{len(diagnostics)} errors",
            [DiagnosticError(diagnostic) for diagnostic in diagnostics],
        )

    @property
    def diagnostics(self) -> list[Diagnostic]:
        """The diagnostics, in the order in which they were found."""
        return [error.diagnostic for error in self.exceptions]

    def derive(self, excs: list[Exception]) -> "InvalidFileError":
        """Return a group of the same type over other members."""
        return InvalidFileError(self.message, excs)
