"""Define the message with which an agent answers its gate's departure."""

from cicadadoor.links.messages import Message


class DepartureNoted(Message, frozen=True, kw_only=True, tag=True):
    """Tell a leaving gate that its agent tells the peers."""
