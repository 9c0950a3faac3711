"""Choose the hosts that poll the store frequently for the others.

Reduces the load of many hosts on one store: each call is paid for, and hosts that
learn of a change from a peer can poll less often.
"""

from collections.abc import Collection


def is_reader(host: str, others: Collection[str], *, is_served: bool) -> bool:
    """Return whether a host is the reader of its failure domain.

    `others` are the hosts of the domain that are heard and that the store serves. A
    host that the store refuses is not the reader.
    """
    return is_served and host <= min(others, default=host)
