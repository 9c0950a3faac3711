"""Test the conversion of the platform's HTTP headers."""

import pytest

from cicadadoor.platform import headers


def read(*fields: tuple[str, str], method: str = 'GET'):
    encoded = [(name.encode(), text.encode()) for name, text in fields]
    return headers.read_request(method, b'/look/1?a=b', encoded)


class TestRequest:
    """Check the parsing of callers' requests."""

    def test_fields_of_the_head_are_decoded(self):
        request = read(
            ('Host', 'Site.Example:8388'),
            ('Attempt-Id', '9c41'),
            ('Cookie', 'other=1'),
            ('Cookie', 'Affinity-Key=17'),
            ('Deadline-Ms', '2500'),
            ('Authorization', 'Bearer key-1'),
        )
        assert request.host_name == 'site.example'
        assert request.request_id == '9c41'
        assert request.affinity_key == '17'
        assert request.deadline_ms == 2500
        assert request.api_key == 'key-1'
        assert request.path == '/look/1'

    def test_key_is_not_passed_on(self):
        request = read(('Host', 'a'), ('Authorization', 'Bearer key-1'))
        assert b'key-1' not in b''.join(text for _, text in request.headers)

    @pytest.mark.parametrize(
        'name',
        ('Tenant', 'Target-Instance', 'Connection', 'Transfer-Encoding', 'TE'),
    )
    def test_headers_set_by_the_system_are_not_accepted_from_callers(self, name):
        request = read(('Host', 'a'), (name, 'forged'))
        assert [header for header, _ in request.headers] == [b'Host']

    def test_headers_named_in_connection_are_not_passed_on(self):
        request = read(('Host', 'a'), ('Connection', 'close, X-Hop'), ('X-Hop', '1'))
        assert [header for header, _ in request.headers] == [b'Host']

    @pytest.mark.parametrize('text', ('', 'soon', '-5', '2.5'))
    def test_deadline_that_is_no_whole_number_is_none(self, text):
        assert read(('Deadline-Ms', text)).deadline_ms is None

    def test_malformed_cookie_gives_no_affinity(self):
        assert read(('Cookie', '\x01=;;=')).affinity_key == ''


class TestToBackendServer:
    """Check the headers of requests to backend servers."""

    def build(self, method: str = 'POST', body_bytes: int = 3):
        request = read(('Host', 'a'), ('Attempt-Id', 'x'), method=method)
        built = headers.backend_headers(
            request,
            left_ms=1234,
            instance_id='i-7f',
            organisation='school',
            body_bytes=body_bytes,
        )
        return dict(built)

    def test_instance_organisation_and_time_left_are_named(self):
        built = self.build()
        assert built[b'Target-Instance'] == b'i-7f'
        assert built[b'Tenant'] == b'school'
        assert built[b'Deadline-Ms'] == b'1234'
        assert built[b'Attempt-Id'] == b'x'

    def test_body_is_framed_by_its_length(self):
        assert self.build()[b'Content-Length'] == b'3'
        assert self.build('POST', 0)[b'Content-Length'] == b'0'
        assert b'Content-Length' not in self.build('GET', 0)


class TestAnswer:
    """Check the parsing of backend servers' responses."""

    def read(self, *fields: tuple[str, str], status: int = 200):
        encoded = [(name.encode(), text.encode()) for name, text in fields]
        return headers.read_response(status, encoded)

    def test_load_and_idle_limit_are_decoded(self):
        head = self.read(('Server-Load', '3,1,8'), ('Keep-Alive', 'max=5, timeout=10'))
        load = head.flow_control.load
        assert (load.running, load.queued, load.slots) == (3, 1, 8)
        assert load.slowdown is None
        assert head.idle_limit_s == 10

    @pytest.mark.parametrize('text', ('', '3,0', 'a,b,c', '1,2,x,100', '1' * 200))
    def test_malformed_load_is_none(self, text):
        assert self.read(('Server-Load', text)).flow_control.load is None

    @pytest.mark.parametrize(
        ('text', 'slowdown'),
        (
            ('3,1,8,100', 1.0),
            ('3, 1, 8, 250', 2.5),
            ('3,1,8,62.5', 0.625),
            # A fourth figure that cannot be read does not invalidate the others.
            ('3,1,8,0', None),
            ('3,1,8,-5', None),
            ('3,1,8,fast', None),
            ('3,1,8,', None),
            ('3,1,8,150,7', 1.5),
        ),
    )
    def test_slowdown_is_decoded(self, text, slowdown):
        load = self.read(('Server-Load', text)).flow_control.load
        assert (load.running, load.queued, load.slots) == (3, 1, 8)
        assert load.slowdown == slowdown

    def test_refusal_of_the_server_is_distinguished_from_other_failures(self):
        assert self.read(('Not-Executed', '1'), status=503).is_not_run
        assert not self.read(status=503).is_not_run

    def test_content_encoding_is_detected(self):
        assert self.read(('Content-Encoding', 'gzip')).is_encoded
        assert not self.read(('Content-Encoding', 'identity')).is_encoded

    def test_signature_is_returned_and_connection_headers_are_not(self):
        head = self.read(
            ('Response-Signature', 'abc'),
            ('Connection', 'close'),
            ('Keep-Alive', 'timeout=4'),
        )
        assert head.is_signed
        assert head.is_last
        assert head.headers == [(b'Response-Signature', b'abc')]

    @pytest.mark.parametrize(
        ('text', 'limit'),
        (('1.4', 1.4), ('6', 6.0), ('0', 0.0), ('.5', 0.5), (' 2. ', 2.0)),
    )
    def test_limit_is_decoded(self, text, limit):
        assert self.read(('Server-Limit', text)).flow_control.rate_limit_per_s == limit

    @pytest.mark.parametrize(
        'text', ('', '-1', 'inf', 'nan', '1e9', '1,4', 'none', '9' * 400)
    )
    def test_malformed_limit_is_none(self, text):
        head = self.read(('Server-Limit', text))
        assert head.flow_control.rate_limit_per_s is None
