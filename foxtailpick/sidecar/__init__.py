"""The sidecar: admission control and proxy of one endpoint."""
