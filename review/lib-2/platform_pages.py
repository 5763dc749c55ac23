"""Packet format and HTTP calls as PROTOCOL.md describes them, and settings made from the templates of the deploy file."""

import asyncio
import json
import re
import struct

HEADER = struct.Struct(">HIIIIHIHIBB")  # len, sum, seq, ack, dst, dport, src, sport, echo, flags, pad
SYN, ACK, FIN, RST = 16, 2, 4, 8
#: The key of `sum` is not disclosed. The ends of these tests use a fixed value that is not 0, as in a reset of the system.
END_SUM = 0x0A0B0C0D


def number_of(address):
    return struct.unpack(">I", bytes(int(part) for part in address.split(".")))[0]


def text_of(number):
    return ".".join(str(part) for part in struct.pack(">I", number))


class Packet:
    """One packet of a flow. `source` and `destination` are pairs of a dotted address and a port."""

    def __init__(self, source, destination, seq, ack, echo, flags, data=b"", checksum=END_SUM):
        self.source, self.destination = source, destination
        self.seq, self.ack, self.echo, self.flags = seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, echo, flags
        self.data, self.checksum = data, checksum

    def encode(self):
        return HEADER.pack(len(self.data), self.checksum, self.seq, self.ack, number_of(self.destination[0]),
                           self.destination[1], number_of(self.source[0]), self.source[1], self.echo, self.flags,
                           0) + self.data

    @staticmethod
    def decode(raw):
        (length, checksum, seq, ack, dst, dport, src, sport, echo, flags, _) = HEADER.unpack_from(raw)
        return Packet((text_of(src), sport), (text_of(dst), dport), seq, ack, echo, flags,
                      raw[HEADER.size:HEADER.size + length], checksum)

    def names(self):
        return "+".join(name for bit, name in ((SYN, "SYN"), (ACK, "ACK"), (FIN, "FIN"), (RST, "RST"))
                        if self.flags & bit) or "-"


async def http_call(host, port, method, path, body=None, timeout=1.0):
    """Makes one call. Returns status, Location and body; status 0 means no answer within the time."""
    try:
        return await asyncio.wait_for(_http_call(host, port, method, path, body), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, "", b""


async def _http_call(host, port, method, path, body):
    reader, writer = await asyncio.open_connection(host, port)
    try:
        data = json.dumps(body).encode() if isinstance(body, dict) else body or b""
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: {host}:{port}\r\nContent-Type: application/json\r\n"
                     f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
        head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in head[1:] if ": " in line)
        content = await reader.readexactly(int(fields.get("content-length", 0)))
        return int(head[0].split()[1]), fields.get("location", ""), content
    finally:
        writer.close()


def render(template, context):
    """Fills in the placeholders `{{a}}`, `{{a.b}}`, `{{a.0}}` and `{{a|json}}` of a template."""

    def fill(match):
        name, _, form = match.group(1).partition("|")
        value = context
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part)
        if form == "json":
            return json.dumps(value)
        if isinstance(value, bool):
            return str(value).lower()
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    return re.sub(r"\{\{([^}]+)\}\}", fill, template)
