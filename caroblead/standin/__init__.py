"""The platform stand-in: simulates the platform for development, demonstrations and tests.

It simulates the log, the VM list, the workers and the endpoints. Every fault that the platform may
have can be injected by a request to ``/faults``.
"""
