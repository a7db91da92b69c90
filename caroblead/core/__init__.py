"""Data types, outcomes and time, shared by every other package."""
