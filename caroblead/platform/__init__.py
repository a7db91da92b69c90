"""Adapters towards the users' platform: its log, its VM list, its workers and its endpoints.

Only the modules here know the shapes of the platform's protocols. The rest of the code sees the
types of :mod:`caroblead.platform.interface`.
"""
