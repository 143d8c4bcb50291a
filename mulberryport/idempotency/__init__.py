"""Records of idempotency keys, which make a caller's own retries safe."""

from .records import ANSWER_BYTES, Answer, RecordId
from .service import Claim, IdempotencyService, Result

__all__ = [
    "ANSWER_BYTES",
    "Answer",
    "Claim",
    "IdempotencyService",
    "RecordId",
    "Result",
]
