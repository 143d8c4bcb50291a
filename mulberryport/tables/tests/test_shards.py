"""Tests of malformed and hostile heads and shards."""

import orjson
import pytest
from attrs import evolve

from ...outcomes import Done, NotDone
from ..head import Head, decode_head, encode_head
from ..model import KeyRecord
from ..queries import assemble
from ..shards import cut, join, shard_digest
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
def test_malformed_head_is_refused(fields):
    # Guards against a revision that no later one can exceed, and against reading
    # keys of the store that are no shards.
    good = orjson.loads(encode_head(HEAD))
    assert decode_head(orjson.dumps(good)) == HEAD
    with pytest.raises(ValueError):
        decode_head(orjson.dumps({**good, **fields}))


@pytest.mark.parametrize("content", [b"", b"[]", b"null", b"\xff", b"{}", b"3"])
def test_other_values_are_no_head(content):
    with pytest.raises(ValueError):
        decode_head(content)


def hostile_shards():
    """Yield shards that no operator could have made."""
    shards = cut(evolve(sample_tables(), keys={DIGEST: KeyRecord(DIGEST, "roads")}))
    yield {**shards, "pool/desk": shards["pool/drafting"]}
    yield {**shards, "pool/desk": shards["pool/desk"].replace(b":9101", b"")}
    yield {**shards, "keys/b": shards["keys/a"]}
    yield {**shards, "keys/a": shards["keys/a"].replace(b'"roads"', b'"nobody"')}
    yield {**shards, "routes": shards["routes"].replace(b'"desk"', b'"none"')}
    yield {**shards, "routes": shards["routes"].replace(b"/filing/", b"/a\\n[pool x]")}
    yield {name: value for name, value in shards.items() if name != "routes"}
    yield {**shards, "leases": b"[]"}


@pytest.mark.parametrize("shards", list(hostile_shards()))
def test_tables_that_no_operator_could_give_are_refused(shards):
    # Guards against values in the store that pass the form but break the daemons.
    with pytest.raises(ValueError):
        join(shards)


def test_shard_with_other_content_is_refused():
    # Guards against a peer or a store that answers with another shard.
    shards = cut(sample_tables())
    digests = {name: shard_digest(content) for name, content in shards.items()}
    head = Head(1, "a", digests, ("a",))
    by_digest = {digests[name]: content for name, content in shards.items()}
    assert isinstance(assemble(head, lambda d: Done(by_digest[d])), Done)
    swapped = {**by_digest, digests["routes"]: b"[]"}
    assert isinstance(assemble(head, lambda d: Done(swapped[d])), NotDone)
