"""Requests to the advice service: about which VMs a step asks, and which node asks next."""
