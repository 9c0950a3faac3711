"""Describe a deployment in a program and print its configuration.

An operator's program builds a `Deployment` and ends with `print_configuration`.
"""

from cicadadoor.config.builder import Deployment
from cicadadoor.config.canonical import print_configuration

__all__ = ('Deployment', 'print_configuration')
