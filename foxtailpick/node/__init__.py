"""What routers and sidecars have in common as processes."""
