"""The node program of an entry VM: requests, the log, the configuration and leader election."""
