"""Caroblead, a cluster scheduler for mixed workloads.

Each package covers one concern:

* ``core``: data types, outcomes of calls and the timer service.
* ``config``: change tickets, the configuration that results from them, and the settings.
* ``policy``: the scheduling decisions, as pure functions over tables.
* ``wire``: calls between the processes of caroblead.
* ``jobs``: jobs of several steps, their stored records and the ledger of both.
* ``node`` and ``dispatch``: the program of an entry VM with its leader election, and the decisions
  of the elected leader.
* ``platform``: adapters to the platform that the users run.
* ``gate`` and ``placer``: the two programs of an entry VM that take requests and place work.
* ``fleet``: what gates and placers share, such as membership and the configuration in force.
* ``events``: the timeline of events and its checker.
* ``standin``: the platform stand-in.
* ``tools`` and ``bench``: the command line and the benchmarks.
"""

__version__ = "0.1.0"
