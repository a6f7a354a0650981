"""Soak test of the gateway: gateway processes under injected faults.

Invariants are checked against what callers and endpoints observed.
"""
