"""Identity of a request across its retries, the same at every daemon."""

import hashlib

__all__ = ["IDENTITY_BYTES", "request_identity"]

IDENTITY_BYTES = 16
LENGTH_BYTES = 8
# Separates these digests from other uses of the hash function; at most 16 bytes.
PERSON = b"mulberryport.req"


def request_identity(
    workspace: str, route: str, method: str, target: str, body: bytes
) -> bytes:
    """Return the identity of a request: equal for retries, whatever their request id.

    The workspace is part of it, so that no workspace can block requests of another.

    Parameters
    ----------
    workspace, route : str
        Workspace of the caller's key, and name of the route.
    method, target : str
        Method, and path with query string, as the caller sent them.
    body : bytes
        The complete body.

    Returns
    -------
    bytes
        A digest of ``IDENTITY_BYTES`` bytes.

    Examples
    --------
    >>> identity = request_identity("w", "chat", "POST", "/chat?n=1", b"{}")
    >>> identity == request_identity("w", "chat", "POST", "/chat?n=1", b"{}")
    True
    >>> identity == request_identity("other", "chat", "POST", "/chat?n=1", b"{}")
    False
    """
    digest = hashlib.blake2b(digest_size=IDENTITY_BYTES, person=PERSON)
    for text in (workspace, route, method, target):
        # WSGI strings may contain surrogates that stand for undecodable bytes.
        _add_field(digest, text.encode("utf-8", "surrogateescape"))
    _add_field(digest, body)
    return digest.digest()


def _add_field(digest: "hashlib.blake2b", value: bytes) -> None:
    """Add a field after its length, so that adjacent fields cannot be confused."""
    digest.update(len(value).to_bytes(LENGTH_BYTES, "big"))
    digest.update(value)
