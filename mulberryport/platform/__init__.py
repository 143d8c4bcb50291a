"""Adapter to the users' platform: the one place that knows its words.

Each module translates one subject between the platform's wire and the types of the
product; decisions, state and recovery are in the packages that it connects.
"""
