"""A router that speaks HTTP to callers and to endpoints, with no sidecar."""
