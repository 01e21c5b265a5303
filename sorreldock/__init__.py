"""The decisions of a request router for fleets of language-model servers, as a library without I/O."""

from .rules import Gateway

__all__ = ["Gateway"]
