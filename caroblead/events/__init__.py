"""The timeline of events of all processes, and the checker of the system's promises."""
