"""Interfaces to the platform, one module per outside system."""
