"""Define the requests and responses that an entry host forwards."""

Headers = list[tuple[bytes, bytes]]


class CallerRequest:
    """Hold the head of a caller's request; `headers` excludes the API key.

    `deadline_ms` is None if the caller set no deadline.
    """

    __slots__ = (
        'affinity_key',
        'api_key',
        'deadline_ms',
        'headers',
        'host_name',
        'method',
        'request_id',
        'target',
    )

    def __init__(
        self,
        *,
        request_id: str,
        method: str,
        target: bytes,
        host_name: str,
        affinity_key: str,
        api_key: str,
        deadline_ms: int | None,
        headers: Headers,
    ) -> None:
        self.request_id = request_id
        self.method = method
        self.target = target
        self.host_name = host_name
        self.affinity_key = affinity_key
        self.api_key = api_key
        self.deadline_ms = deadline_ms
        self.headers = headers

    @property
    def path(self) -> str:
        """Return the path exactly as the caller sent it, without the query."""
        return self.target.partition(b'?')[0].decode('latin-1')


class LoadReport:
    """Hold the requests that a server runs and queues, and its slots.

    `slowdown` is how many times longer than usual work takes on the server's machine at
    this moment, or None if the server does not say so.
    """

    __slots__ = ('queued', 'running', 'slots', 'slowdown')

    def __init__(
        self, running: int, queued: int, slots: int, slowdown: float | None = None
    ) -> None:
        self.running = running
        self.queued = queued
        self.slots = slots
        self.slowdown = slowdown


class FlowControl:
    """Hold what a server says of its load and asks of its callers in a response.

    The server takes `rate_limit_per_s` requests per second from all hosts together,
    and none from this host for `retry_after_s`. `is_leaving` means that it stops soon.
    """

    __slots__ = ('is_leaving', 'load', 'rate_limit_per_s', 'retry_after_s')

    def __init__(
        self,
        *,
        load: LoadReport | None = None,
        rate_limit_per_s: float | None = None,
        retry_after_s: float | None = None,
        is_leaving: bool = False,
    ) -> None:
        self.is_leaving = is_leaving
        self.retry_after_s = retry_after_s
        self.load = load
        self.rate_limit_per_s = rate_limit_per_s


class ResponseHead:
    """Hold the head of a backend server's response.

    `is_last` means that the server closes the connection after this response.
    """

    __slots__ = (
        'headers',
        'idle_limit_s',
        'instance_id',
        'is_encoded',
        'is_last',
        'is_not_run',
        'is_signed',
        'flow_control',
        'request_id',
        'status',
    )

    def __init__(
        self,
        *,
        status: int,
        request_id: str,
        is_signed: bool,
        is_not_run: bool,
        is_encoded: bool,
        instance_id: str,
        flow_control: FlowControl,
        idle_limit_s: float | None,
        is_last: bool,
        headers: Headers,
    ) -> None:
        self.status = status
        self.request_id = request_id
        self.is_signed = is_signed
        self.is_not_run = is_not_run
        self.is_encoded = is_encoded
        self.instance_id = instance_id
        self.flow_control = flow_control
        self.idle_limit_s = idle_limit_s
        self.is_last = is_last
        self.headers = headers


class BackendResponse:
    """Hold a complete response of a backend server."""

    __slots__ = ('body', 'head')

    def __init__(self, head: ResponseHead, body: bytes | bytearray) -> None:
        self.head = head
        self.body = body
