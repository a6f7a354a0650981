"""Demo: a small deployment on stand-ins that checks the invariants."""
