"""The sidecar: the only gate of its endpoint."""
