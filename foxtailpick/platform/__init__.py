"""Adapter to the operators' platform.

Only this folder knows the platform's names: the settings file, the store's
calls and items, the headers of requests. Everything is decoded here, once,
into the project's own types. Nothing here decides.
"""
