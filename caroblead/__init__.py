"""Caroblead, a cluster scheduler for unlike workloads.

The packages follow the concerns of the system. ``core`` holds the data types, the outcomes and the
timer service, ``config`` the change tickets and the settings, ``policy`` the decision systems,
which are pure functions over tables, ``wire`` the calls between our processes, ``platform`` the
adapters towards what the users run, ``gate`` and ``placer`` the two programs of an entry VM,
``events`` the time line with its checker, ``standin`` the emulator of the platform and ``tools``
the command line.
"""

__version__ = "0.1.0"
