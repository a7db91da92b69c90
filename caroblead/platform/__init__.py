"""Adapters to the operators' platform: its log store, its VMs, its advice service and its callers.

Only the modules of this package know the names, paths and headers of the platform. The rest of the
code uses the types of :mod:`caroblead.jobs` and :mod:`caroblead.dispatch.interface`.
"""
