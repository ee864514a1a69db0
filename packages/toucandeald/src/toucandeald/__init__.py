"""The proxy daemon: adapters around the decisions of the library."""

__all__ = ['__version__']

__version__ = '0.1.0'
