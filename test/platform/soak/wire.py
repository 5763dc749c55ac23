"""Packet format and HTTP calls of the platform, as its callers, upstreams and operators use them."""

import asyncio
import json
import struct

HEADER = struct.Struct(">HIIIIHIHIBB")  # length, checksum, seq, ack, dst, dport, src, sport, token, flags, pad
SYN, ACK, FIN, RST = 16, 2, 4, 8
#: Upstreams set this checksum in their packets; resets that a router generates carry 0.
UPSTREAM_CHECKSUM = 0x5AFE


def parse_ip(text):
    return struct.unpack(">I", bytes(int(part) for part in text.split(".")))[0]


def format_ip(number):
    return ".".join(str(part) for part in struct.pack(">I", number))


def encode_packet(source, destination, seq, ack, token, flags, data=b"", checksum=1):
    """Source and destination are pairs of a dotted address and a port."""
    return HEADER.pack(len(data), checksum, seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, parse_ip(destination[0]),
                       destination[1], parse_ip(source[0]), source[1], token, flags, 0) + data


class Packet:
    """A received packet."""

    def __init__(self, raw):
        (self.length, self.checksum, self.seq, self.ack, dst, dport, src, sport, self.token, self.flags,
         _) = HEADER.unpack_from(raw)
        self.source = (format_ip(src), sport)
        self.destination = (format_ip(dst), dport)
        self.data = raw[HEADER.size:]


async def call(host, port, method, path, body=None, timeout=1.0):
    """Makes one HTTP call. Returns status, location and body; status 0 means no answer."""
    try:
        return await asyncio.wait_for(_call(host, port, method, path, body), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, "", b""


async def _call(host, port, method, path, body):
    reader, writer = await asyncio.open_connection(host, port)
    try:
        data = json.dumps(body).encode() if isinstance(body, dict) else body or b""
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)
        head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in head[1:] if ": " in line)
        content = await reader.readexactly(int(fields.get("content-length", 0)))
        return int(head[0].split()[1]), fields.get("location", ""), content
    finally:
        writer.close()


async def call_any(hosts, port, method, path, body=None, random=None, attempts=4):
    """Calls hosts in random order until one answers conclusively, and follows redirects."""
    order = random.sample(hosts, len(hosts))
    for attempt in range(attempts):
        host = order[attempt % len(order)]
        for _ in range(3):
            status, location, content = await call(host, port, method, path, body)
            if status != 307:
                break
            host = location.split("/")[2].split(":")[0]
        if 200 <= status < 500 and status not in (307, 408, 429):
            return status, content
        await asyncio.sleep(0.1 * (attempt + 1))
    return 0, b""
