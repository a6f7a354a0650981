"""The router: a thin entry instance."""
