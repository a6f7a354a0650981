"""Adapters to the platform, one module per external system."""
