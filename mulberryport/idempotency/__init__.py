"""Idempotency key records, which make retries by callers safe."""

from .records import MAX_ANSWER_BYTES, Answer, RecordKey
from .service import Claim, IdempotencyService, Result

__all__ = [
    "MAX_ANSWER_BYTES",
    "Answer",
    "Claim",
    "IdempotencyService",
    "RecordKey",
    "Result",
]
