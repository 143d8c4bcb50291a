"""Names of the platform's headers and paths."""

__all__ = [
    "DEADLINE",
    "ITEMS_PATH",
    "ORDER_PATH",
    "READINESS_PATH",
    "REPORT_PATH",
    "RESULTS_PATH",
    "EXPECT_INSTANCE",
    "EXPECT_VERSION",
    "KEY",
    "LAST_EVENT_ID",
    "LOAD",
    "MODEL",
    "NOT_RUN",
    "REQUEST_ID",
    "STAMP",
    "TENANT",
    "URGENCY",
    "VERSIONS",
    "WAIT",
]

REQUEST_ID = "X-Request-Id"
# Milliseconds that the sender still waits for an answer.
DEADLINE = "X-Deadline-Ms"
KEY = "X-Api-Key"
# Workspace on whose behalf a request runs; always set by this system.
TENANT = "X-Tenant"
# A target with another id answers 421 and does not run the request.
EXPECT_INSTANCE = "X-Expect-Instance"
EXPECT_VERSION = "X-Expect-Version"
# Present in answers to requests that certainly did not run.
NOT_RUN = "X-Not-Run"
# A target's signature; for scoring calls it is the score itself.
STAMP = "X-Server-Stamp"
# Running, waiting, slots.
LOAD = "X-Server-Load"
VERSIONS = "X-Weight-Versions"
LAST_EVENT_ID = "Last-Event-Id"
# 0 to 9, where 0 is first.
URGENCY = "X-Urgency"
MODEL = "X-Model"
# Milliseconds that a read may be kept waiting.
WAIT = "X-Wait-Ms"

READINESS_PATH = "/mulberryport/readiness"
RESULTS_PATH = "/mulberryport/lots/"
ITEMS_PATH = "/mulberryport/items/"
REPORT_PATH = "/mulberryport/report"
ORDER_PATH = "/mulberryport/order"
