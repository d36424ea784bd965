"""The platform's packet format, as PROTOCOL.md gives it."""

import hashlib
import socket
import struct

HEAD = struct.Struct('<IHHIIB5sIIHI')
SYN, ACK, FIN, RST, BOUNCED = 8, 4, 2, 128, 1
DATA_MAX = 1200
_KEY = b'key of the two ends'


class Packet:
    """One packet; ``src`` and ``dst`` are (host, port) pairs."""

    __slots__ = ('ack', 'data', 'dst', 'flags', 'raw', 'seq', 'src', 'sum')

    def __init__(self, src, dst, flags, seq, ack, data=b''):
        self.src, self.dst, self.flags = src, dst, flags
        self.seq, self.ack, self.data = seq % 2**32, ack % 2**32, data
        self.sum = 0
        self.raw = b''

    def compute_sum(self):
        """Return the keyed sum over all fields but echo, pad and BOUNCED."""
        text = repr(
            (
                self.src,
                self.dst,
                self.flags & ~BOUNCED,
                self.seq,
                self.ack,
                self.data,
            )
        )
        digest = hashlib.blake2b(text.encode(), key=_KEY, digest_size=4)
        return int.from_bytes(digest.digest(), 'little') or 1

    def encode(self):
        self.sum = self.compute_sum()
        return (
            HEAD.pack(
                0,
                self.dst[1],
                self.src[1],
                _to_number(self.src[0]),
                _to_number(self.dst[0]),
                self.flags,
                b'',
                self.seq,
                self.ack,
                len(self.data),
                self.sum,
            )
            + self.data
        )

    @property
    def is_genuine(self):
        """Whether one of the two ends wrote the packet as it is."""
        return self.sum == self.compute_sum()

    @property
    def is_system_reset(self):
        return bool(self.flags & RST) and not self.data and not self.sum


def decode(raw):
    """Return a packet, or ``None`` when the bytes are none."""
    if len(raw) < HEAD.size:
        return None
    _, dport, sport, src, dst, flags, _, seq, ack, length, checksum = (
        HEAD.unpack_from(raw)
    )
    data = raw[HEAD.size :]
    if length != len(data) or length > DATA_MAX:
        return None
    packet = Packet(
        (_to_host(src), sport), (_to_host(dst), dport), flags, seq, ack, data
    )
    packet.sum = checksum
    packet.raw = raw
    return packet


def bounce(raw):
    """Return a packet as an endpoint gives it back: BOUNCED set, pad 0."""
    flags = raw[16] | BOUNCED
    return raw[:16] + bytes((flags,)) + bytes(5) + raw[22:]


def _to_number(host):
    return int.from_bytes(socket.inet_aton(host), 'big')


def _to_host(number):
    return socket.inet_ntoa(number.to_bytes(4, 'big'))
