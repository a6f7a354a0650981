"""Measurements of the decision modules."""
