"""A rollout service between trainers, live callers and targets."""

import os
import warnings

# eventlet reads this at import. Addresses are IP numbers, so its own resolver
# only costs memory (7 to 12 MB).
os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
# The project depends on eventlet by choice; its migration notice on every start
# would hide real messages.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

__version__ = "0.1.0"

__all__ = ["__version__"]
