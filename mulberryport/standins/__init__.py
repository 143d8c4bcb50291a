"""Small stand-ins of outside systems, for the quick start and tests."""
