"""Adapter to the users' platform: the only package that knows its protocol.

Each module translates one subject between the platform's protocol and the types of the
other packages, which contain the decisions, the state and the recovery.
"""
