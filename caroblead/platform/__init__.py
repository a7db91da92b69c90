"""Adapters towards the operators' platform: its store, its VMs, its advice and its callers.

Only the modules here know the platform's names, paths and headers. Everything else sees the types
of :mod:`caroblead.jobs` and :mod:`caroblead.dispatch.interface`.
"""
