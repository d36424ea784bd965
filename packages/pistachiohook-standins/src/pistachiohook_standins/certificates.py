"""Test certificates: an authority, and a key and certificate per service."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING

from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives.hashes import SHA256
from cryptography.hazmat.primitives.serialization import Encoding
from cryptography.hazmat.primitives.serialization import NoEncryption
from cryptography.hazmat.primitives.serialization import PrivateFormat
from cryptography.x509 import BasicConstraints
from cryptography.x509 import Certificate
from cryptography.x509 import CertificateBuilder
from cryptography.x509 import DNSName
from cryptography.x509 import Name
from cryptography.x509 import NameAttribute
from cryptography.x509 import NameOID
from cryptography.x509 import random_serial_number
from cryptography.x509 import SubjectAlternativeName

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

#: Time from their creation during which the certificates are valid.
VALIDITY = datetime.timedelta(days=7)

#: Time before their creation from which on the certificates are valid, for
#: processes whose clocks are behind.
CLOCK_SKEW = datetime.timedelta(hours=1)

_AUTHORITY_NAME = Name(
    [NameAttribute(NameOID.COMMON_NAME, 'stand-in authority')]
)


def make_certificates(folder: Path, names: Iterable[str]) -> Path:
    """Write ``NAME.pem`` and ``NAME.key`` for each name, and ``ca.pem``.

    :param folder: folder of the files; created if it doesn't exist
    :param names: DNS names, each of which gets a certificate of its own
    :returns: path of the authority's certificate
    """
    folder.mkdir(parents=True, exist_ok=True)
    authority_key = ec.generate_private_key(ec.SECP256R1())
    authority = (
        _make_builder(_AUTHORITY_NAME, authority_key.public_key())
        .add_extension(BasicConstraints(ca=True, path_length=0), True)
        .sign(authority_key, SHA256())
    )
    for name in names:
        key = ec.generate_private_key(ec.SECP256R1())
        subject = Name([NameAttribute(NameOID.COMMON_NAME, name)])
        certificate = (
            _make_builder(subject, key.public_key())
            .add_extension(SubjectAlternativeName([DNSName(name)]), False)
            .sign(authority_key, SHA256())
        )
        _write_certificate(folder / f'{name}.pem', certificate)
        _write_key(folder / f'{name}.key', key)
    _write_certificate(folder / 'ca.pem', authority)
    return folder / 'ca.pem'


def _make_builder(
    subject: Name, key: ec.EllipticCurvePublicKey
) -> CertificateBuilder:
    now = datetime.datetime.now(datetime.UTC)
    return (
        CertificateBuilder()
        .subject_name(subject)
        .issuer_name(_AUTHORITY_NAME)
        .public_key(key)
        .serial_number(random_serial_number())
        .not_valid_before(now - CLOCK_SKEW)
        .not_valid_after(now + VALIDITY)
    )


def _write_certificate(path: Path, certificate: Certificate) -> None:
    path.write_bytes(certificate.public_bytes(Encoding.PEM))


def _write_key(path: Path, key: ec.EllipticCurvePrivateKey) -> None:
    path.touch(mode=0o600)
    path.write_bytes(
        key.private_bytes(
            Encoding.PEM,
            PrivateFormat.PKCS8,
            NoEncryption(),
        )
    )
