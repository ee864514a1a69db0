"""Coordination logic of a database proxy with session consistency.

The library holds tables of entities and the systems that process them.
It performs no I/O and reads no clock: every entry point takes the monotonic
time in seconds and a random number generator, and returns typed actions for
the embedding process to perform.
"""

__all__ = ['__version__']

__version__ = '0.1.0'
