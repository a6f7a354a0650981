"""Benchmarks, simulations and soak scenarios."""
