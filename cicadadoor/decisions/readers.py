"""Choose the hosts that follow the store closely for the others.

Answers many hosts at one store: each call is paid for, and hosts that hear of a change
from a neighbour may read cheaply and late.
"""

from collections.abc import Collection


def is_reader(host: str, others: Collection[str], *, is_served: bool) -> bool:
    """Tell whether a host is the reader among those of its failure domain.

    `others` are the hosts of the domain that are heard and that the store answers. A
    host that the store turns away is nobody's reader.
    """
    return is_served and host <= min(others, default=host)
