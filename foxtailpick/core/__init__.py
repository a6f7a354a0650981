"""Decision logic, free of sockets and platform calls."""
