"""Tests of malformed and invalid heads and shards."""

import orjson
import pytest
from attrs import evolve

from ...outcomes import Done, NotDone
from ..head import Head, decode_head, encode_head
from ..model import KeyRecord
from ..queries import assemble_snapshot
from ..shards import join_shards, shard_digest, split_tables
from .builders import sample_tables

DIGEST = "ab" * 32
HEAD = Head(3, "c", {"routes": DIGEST}, ("a", "b", "c"))


@pytest.mark.parametrize(
    "fields",
    [
        {"revision": 0},
        {"revision": 2**60},
        {"revision": "3"},
        {"history": ["a"]},
        {"history": []},
        {"shards": {"routes": "../../lease"}},
        {"surplus": 1},
    ],
)
def test_malformed_head_is_rejected(fields):
    # Guards against a revision that no later one can exceed, and against digests that
    # make the daemon read store keys other than shards.
    valid_fields = orjson.loads(encode_head(HEAD))
    assert decode_head(orjson.dumps(valid_fields)) == HEAD
    with pytest.raises(ValueError):
        decode_head(orjson.dumps({**valid_fields, **fields}))


@pytest.mark.parametrize("content", [b"", b"[]", b"null", b"\xff", b"{}", b"3"])
def test_content_other_than_a_head_is_rejected(content):
    with pytest.raises(ValueError):
        decode_head(content)


def invalid_shards():
    """Yield sets of shards that cannot result from valid tables."""
    shards = split_tables(
        evolve(sample_tables(), keys={DIGEST: KeyRecord(DIGEST, "roads")})
    )
    yield {**shards, "pool/desk": shards["pool/drafting"]}
    yield {**shards, "pool/desk": shards["pool/desk"].replace(b":9101", b"")}
    yield {**shards, "keys/b": shards["keys/a"]}
    yield {**shards, "keys/a": shards["keys/a"].replace(b'"roads"', b'"nobody"')}
    yield {**shards, "routes": shards["routes"].replace(b'"desk"', b'"none"')}
    yield {**shards, "routes": shards["routes"].replace(b"/filing/", b"/a\\n[pool x]")}
    yield {name: value for name, value in shards.items() if name != "routes"}
    yield {**shards, "leases": b"[]"}


@pytest.mark.parametrize("shards", list(invalid_shards()))
def test_invalid_shards_are_rejected(shards):
    # Guards against stored values that have the right types but break the daemons.
    with pytest.raises(ValueError):
        join_shards(shards)


def test_shard_with_wrong_digest_is_rejected():
    # Guards against a peer or store that returns the content of another shard.
    shards = split_tables(sample_tables())
    digests = {name: shard_digest(content) for name, content in shards.items()}
    head = Head(1, "a", digests, ("a",))
    by_digest = {digests[name]: content for name, content in shards.items()}
    assert isinstance(assemble_snapshot(head, lambda d: Done(by_digest[d])), Done)
    swapped = {**by_digest, digests["routes"]: b"[]"}
    assert isinstance(assemble_snapshot(head, lambda d: Done(swapped[d])), NotDone)
