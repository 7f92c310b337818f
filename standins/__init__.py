"""Test doubles of external systems for demos, tests and benchmarks."""
