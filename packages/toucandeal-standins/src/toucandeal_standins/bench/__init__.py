"""Benchmarks of real processes; run with ``make bench``."""
