"""Assembly of a daemon from its components, with its heartbeats and operator port.

``process`` assembles the daemon of the project's own interface. It is imported by its
users only, so that daemons on the platform start without it.
"""
