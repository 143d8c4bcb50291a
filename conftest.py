"""Shared pytest set-up: eventlet is installed before tests import sockets."""

from mulberryport.runtime.hub import install_eventlet

install_eventlet()
