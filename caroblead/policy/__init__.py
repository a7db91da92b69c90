"""Scheduling policies: functions over the tables of a cell, with no I/O.

Nothing here does input or output or reads a clock; every function is given the time. The tables
are in :mod:`caroblead.policy.cell`, and each policy has a module of its own.
"""
