"""Measurements of the decision systems and the longer search over mixed faults."""
