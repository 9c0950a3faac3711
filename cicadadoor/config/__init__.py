"""Build the configuration of a deployment in a program and print it.

An operator's program creates a `Deployment`, adds its parts and passes it to
`print_configuration`.
"""

from cicadadoor.config.builder import Deployment
from cicadadoor.config.canonical import print_configuration

__all__ = ('Deployment', 'print_configuration')
