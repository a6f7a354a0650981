"""A small deployment on stand-ins that checks every promise."""
