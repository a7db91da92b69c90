"""Benchmarks of the scheduling decisions, and the longer fault searches and soak tests."""
