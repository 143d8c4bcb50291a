"""A rollout service between trainers, live callers and targets."""

import os
import warnings

# eventlet reads this variable at import. All addresses are IP addresses, so its DNS
# resolver would only use memory (7 to 12 MB).
os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
# The project depends on eventlet deliberately. Its deprecation warning at each start
# would hide relevant messages.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

__version__ = "0.1.0"

__all__ = ["__version__"]
