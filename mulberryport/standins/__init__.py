"""Stand-ins for external systems, for the quick start and tests.

Daemons never import this package.
"""

from .engine import EngineState, engine_application, expected_tokens
from .platform import PlatformState, platform_application
from .service import ServiceState, service_application

__all__ = [
    "EngineState",
    "PlatformState",
    "ServiceState",
    "engine_application",
    "expected_tokens",
    "platform_application",
    "service_application",
]
