"""Stand-ins for outside systems, used by the demo, tests and benchmarks."""
