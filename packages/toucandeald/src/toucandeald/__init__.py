"""The proxy daemon: I/O adapters around the decision logic of `toucandeal`."""

__all__ = ['__version__']

__version__ = '0.1.0'
