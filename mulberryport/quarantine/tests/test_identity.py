"""Tests of the identity of requests."""

import pytest

from ..identity import IDENTITY_BYTES, request_identity

FIELDS = ("research", "chat", "POST", "/chat?n=1", b"{}")


# Guards against a retry that is not recognised.
def test_equal_requests_have_the_same_identity():
    assert request_identity(*FIELDS) == request_identity(*FIELDS)
    assert len(request_identity(*FIELDS)) == IDENTITY_BYTES


# Guards against a block that also hits other requests or other workspaces.
@pytest.mark.parametrize("index", range(len(FIELDS)))
def test_each_field_is_part_of_the_identity(index):
    fields = list(FIELDS)
    fields[index] += b" " if index == 4 else " "
    assert request_identity(*fields) != request_identity(*FIELDS)


# Guards against two requests that differ only in where one field ends.
def test_adjacent_fields_are_not_confused():
    assert request_identity("ab", "c", "POST", "/", b"") != request_identity(
        "a", "bc", "POST", "/", b""
    )
    assert request_identity("a", "b", "POST", "/x", b"y") != request_identity(
        "a", "b", "POST", "/", b"xy"
    )


# Guards against a request whose path is not valid text.
def test_undecodable_path_has_an_identity():
    assert request_identity("w", "r", "GET", "/\udcff", b"")


# Guards against an upgrade that changes identities, so that daemons of two versions do
# not recognise each other's reports.
def test_identity_does_not_depend_on_the_version():
    assert request_identity(*FIELDS).hex() == "5a4c17ba800107a677ecda99adf79d96"
