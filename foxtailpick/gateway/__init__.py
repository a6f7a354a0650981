"""A router that relays HTTP between callers and endpoints without sidecars."""
