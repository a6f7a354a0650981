"""Adapter to the operators' platform.

Only this package knows the platform's formats: the settings file, the
store's calls and items, the request headers. It decodes them into the
project's own types and contains no decision logic.
"""
