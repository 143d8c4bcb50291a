"""Idempotency key records, which make retries by callers safe."""

from .records import MAX_STORED_RESPONSE_BYTES, RecordKey, StoredResponse
from .service import Claim, IdempotencyService, Result

__all__ = [
    "MAX_STORED_RESPONSE_BYTES",
    "StoredResponse",
    "Claim",
    "IdempotencyService",
    "RecordKey",
    "Result",
]
