"""A stand-in for the users' platform, for development, demonstrations and tests.

It plays the log, the VM list, the workers and the endpoints, and every fault that the platform may
have can be switched on by a request to ``/faults``.
"""
