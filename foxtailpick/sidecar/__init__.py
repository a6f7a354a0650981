"""The sidecar: the only entry to its endpoint, with admission control."""
