"""A soak of the gateway: real processes, faults from outside, promises
checked from what callers and endpoints see."""
