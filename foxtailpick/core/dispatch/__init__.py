"""Dispatch decisions of a router that talks HTTP directly to its endpoints.

Each module makes one decision on explicit state: the route of a request,
its endpoint, whether it is queued, whether it is retried. No module opens
a socket, reads a clock or knows the platform's names.
"""
