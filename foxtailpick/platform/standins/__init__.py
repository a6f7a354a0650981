"""Stand-ins for the platform's store and servers, for tests and soak test."""
