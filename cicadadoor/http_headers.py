"""Define headers that several servers send."""

JSON_HEADER = (b'content-type', b'application/json')
