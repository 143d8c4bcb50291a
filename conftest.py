"""Shared pytest set-up: eventlet is installed before tests import sockets."""

from mulberryport.runtime.hub import install

install()
