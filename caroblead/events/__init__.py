"""The time line of events over all processes, and the checker of the promises."""
