"""Decisions of the leader: where tasks run, what their ends mean, which orders go out."""
