"""Headers and paths of the platform's protocol."""

__all__ = [
    "COLD",
    "DEADLINE",
    "ITEMS_PATH",
    "ORDER_PATH",
    "READINESS_PATH",
    "REPORT_PATH",
    "RESULTS_PATH",
    "EXPECT_INSTANCE",
    "EXPECT_VERSION",
    "KEY",
    "KV_BACKUP",
    "KV_FETCH",
    "KV_FROM",
    "KV_HOLD",
    "LAST_EVENT_ID",
    "LEAVING",
    "LOAD",
    "MODEL",
    "NOT_RUN",
    "PROMPT_PREFIX",
    "RESUMES",
    "RATE_LIMIT",
    "REQUEST_ID",
    "STAMP",
    "TENANT",
    "TOKEN_COUNTS",
    "URGENCY",
    "VERSIONS",
    "WAIT",
]

REQUEST_ID = "X-Request-Id"
# Remaining time in milliseconds for which the sender waits for a response.
DEADLINE = "X-Deadline-Ms"
KEY = "X-Api-Key"
# Workspace on whose behalf a request runs; always set by this system.
TENANT = "X-Tenant"
# A target with another id responds with status 421 and does not execute the request.
EXPECT_INSTANCE = "X-Expect-Instance"
EXPECT_VERSION = "X-Expect-Version"
# Present in responses to requests that were definitely not executed.
NOT_RUN = "X-Not-Run"
# Signature of a target; for scoring calls, it is the score itself.
STAMP = "X-Server-Stamp"
# Numbers of running requests, waiting requests and slots, separated by commas.
LOAD = "X-Server-Load"
# Milliseconds for which a target is cold; in responses to health checks.
COLD = "X-Cold-Ms"
# Decimal number of requests per second that a target takes from all daemons together.
RATE_LIMIT = "Server-Limit"
# "1" in all responses of a target that is going to stop.
LEAVING = "Server-Leaving"
VERSIONS = "X-Weight-Versions"
LAST_EVENT_ID = "Last-Event-Id"
# Id of the attempt that brought the first event of a stream that is taken up.
RESUMES = "Resumes"
# Priority from 0 (highest) to 9.
URGENCY = "X-Urgency"
MODEL = "X-Model"
# Parts of the prompt in their order, as ID:TOKENS with hexadecimal ids, separated by
# commas. The last part belongs to the request itself.
PROMPT_PREFIX = "X-Prompt-Prefix"
# Numbers of tokens of the prompt and of the longest answer, separated by a comma.
TOKEN_COUNTS = "X-Token-Counts"
# Address of a target that receives a copy of the request's memory as it grows.
KV_BACKUP = "X-Kv-Backup"
# Address of a target whose memory of the prompt is fetched.
KV_FETCH = "Kv-Fetch"
# Address and handle of the memory that the request goes on from.
KV_FROM = "Kv-From"
# Reservation of a slot and of memory that the request uses.
KV_HOLD = "X-Kv-Hold"
# Longest time in milliseconds for which a read may wait for results.
WAIT = "X-Wait-Ms"

READINESS_PATH = "/mulberryport/readiness"
RESULTS_PATH = "/mulberryport/lots/"
ITEMS_PATH = "/mulberryport/items/"
REPORT_PATH = "/mulberryport/report"
ORDER_PATH = "/mulberryport/order"
