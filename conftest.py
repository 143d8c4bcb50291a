"""Shared pytest set-up: eventlet must be configured before any import of it."""

import os

os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
