"""Stand-ins for the outside systems, for tests, the demo and the bench."""

__all__ = ['__version__']

__version__ = '0.1.0'
