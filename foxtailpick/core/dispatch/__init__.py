"""Decisions of a router that speaks HTTP to its endpoints directly.

Each module decides one thing over explicit state: which route a request
takes, which endpoint gets it, whether it waits, whether it is sent again.
Nothing here opens a socket, reads a clock or knows the platform's names.
"""
