"""A router for servers that own their keys exclusively."""

from typing import Final

VERSION: Final = "0.1.0"
