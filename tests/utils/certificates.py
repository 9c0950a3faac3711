"""Create TLS certificates for tests."""

import datetime
import ipaddress

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from cicadadoor.links.transport import PeerSecurity

_DAY = datetime.timedelta(days=1)


class Authority:
    """Act as a certificate authority for hosts."""

    def __init__(self, name: str) -> None:
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = _name(name)
        self._certificate = _build(self._name, self._name, self._key, self._key, True)

    def security(self) -> PeerSecurity:
        """Return a new host certificate and its key, with this authority as root."""
        key = ec.generate_private_key(ec.SECP256R1())
        name = _name('127.0.0.1')
        certificate = _build(name, self._name, key, self._key, False)
        return PeerSecurity(_key_pem(key) + _pem(certificate), _pem(self._certificate))


def _build(subject, issuer, key, signing_key, is_authority):
    now = datetime.datetime.now(datetime.UTC)
    alternative = x509.IPAddress(ipaddress.ip_address('127.0.0.1'))
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - _DAY)
        .not_valid_after(now + _DAY)
        .add_extension(x509.BasicConstraints(is_authority, None), critical=True)
        .add_extension(x509.SubjectAlternativeName([alternative]), critical=False)
        .sign(signing_key, hashes.SHA256())
    )


def _name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def _pem(certificate: x509.Certificate) -> str:
    return certificate.public_bytes(serialization.Encoding.PEM).decode()


def _key_pem(key: ec.EllipticCurvePrivateKey) -> str:
    return key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    ).decode()
