"""The decision systems: pure functions over the tables of a cell.

Nothing here does input or output or looks at a clock; every function is given the time. The tables
are in :mod:`caroblead.policy.cell`, and each system has a module of its own.
"""
