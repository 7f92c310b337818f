"""Benchmarks of the product in comparison with simple baselines."""
