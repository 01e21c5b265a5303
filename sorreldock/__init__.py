"""The decisions of a request router for fleets of language-model servers, as a library without I/O."""

from .rules import Gateway

__version__ = "0.2.0"
__all__ = ["Gateway", "__version__"]
