"""Shared pytest configuration: installs eventlet before tests import sockets."""

from mulberryport.runtime.hub import install_eventlet

install_eventlet()
