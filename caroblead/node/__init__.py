"""The program of an entry VM: callers, the log, the configuration, and the election of a leader."""
