"""Fakes of the platform's store and servers for tests and the soak test."""
