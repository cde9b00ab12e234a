"""HTTP/1.1 messages over asyncio streams, as far as the stand-ins need them."""

import asyncio

MAX_HEAD_BYTES = 64 * 1024


class Closed(Exception):
    """The peer closed the connection, or sent what is no message."""


class Head:
    """Start line and headers of a message."""

    def __init__(self, start, headers):
        self.start = start
        self.headers = headers

    def get(self, name, default=""):
        for key, value in self.headers:
            if key == name:
                return value
        return default

    @property
    def status(self):
        return int(self.start.split(" ", 2)[1])


async def read_head(reader):
    """Returns the next head, or None if the connection ends before its first byte."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise Closed("connection ended in a head") from error
    except (ConnectionError, asyncio.LimitOverrunError) as error:
        raise Closed(str(error)) from error
    lines = data[:-4].decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers.append((name.strip().lower(), value.strip()))
    return Head(lines[0], headers)


async def read_chunked(reader):
    body = bytearray()
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            return bytes(body)


async def read_body(reader, head, is_response=False):
    """Returns the whole body of a message; raises Closed if it is cut."""
    try:
        if "chunked" in head.get("transfer-encoding").lower():
            return await read_chunked(reader)
        length = head.get("content-length")
        if length:
            return await reader.readexactly(int(length))
        if is_response and head.status not in (204, 304):
            return await reader.read(-1)
        return b""
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        raise Closed(f"body is cut: {error}") from error


def encode(start, headers, body=b""):
    """Returns a message with a length."""
    lines = [start] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def close(writer):
    writer.close()
    try:
        await writer.wait_closed()
    except (ConnectionError, OSError):
        pass


def reset(writer):
    """Closes a connection with a reset."""
    import socket
    import struct

    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            # The peer has closed the connection before.
            return
    writer.transport.abort()
