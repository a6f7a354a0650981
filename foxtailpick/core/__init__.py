"""Decision logic: no sockets, no platform."""
