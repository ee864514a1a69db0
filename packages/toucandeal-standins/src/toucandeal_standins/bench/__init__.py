"""Measurements on real processes; run with ``make bench``."""
