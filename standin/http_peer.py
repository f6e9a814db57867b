"""A minimal HTTP/1.1 server on asyncio for the stand-ins, whose handlers can also send malformed responses and break connections."""

import asyncio
import json
import socket
import struct
import time


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, query = target.partition("?")
        self.arrived_at = time.monotonic()
        self.query = dict(part.partition("=")[::2] for part in query.split("&") if part)

    def header(self, name, default=""):
        return self.headers.get(name.lower(), default)

    def json(self):
        return json.loads(self.body or b"{}")


async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Request(method, target, headers, body)


def response(status, headers=(), body=b""):
    if isinstance(body, (dict, list)):
        body = json.dumps(body).encode()
        headers = [*headers, ("Content-Type", "application/json")]
    head = f"HTTP/1.1 {status} X\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers)
    return head.encode() + f"Content-Length: {len(body)}\r\n\r\n".encode() + body


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def reset(writer):
    """Ends the connection with a reset; `abort` alone closes it in the ordinary way if all input was read."""
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Server:
    """Calls `handler(request, reader, writer)` for each request. The handler returns the bytes to send, or None to close the connection."""

    def __init__(self, ip, port, handler):
        self.ip, self.port, self.handler = ip, port, handler
        self.writers = set()
        self.server = None
        self.silent_until = 0.0  # on the loop's clock
        self.on_listening = []  # called with whether the server listens, when that changes

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.report_listening()
        return self

    @property
    def is_listening(self):
        return self.server is not None

    def stop(self):
        """Closes the listener and resets all connections, as the end of a process does."""
        if self.server:
            self.server.close()
            self.server = None
            self.report_listening()
        for writer in list(self.writers):
            writer.transport.abort()

    def end(self):
        """Closes the listener and all connections in the ordinary way, as the kernel does for a process that is killed."""
        self.server.close()
        self.server = None
        self.report_listening()
        for writer in list(self.writers):
            writer.close()

    def report_listening(self):
        for hook in self.on_listening:
            hook(self.is_listening)

    def fall_silent(self, seconds):
        """Neither reads nor sends for this time, as a process that stands still; connections are accepted meanwhile."""
        self.silent_until = asyncio.get_running_loop().time() + seconds

    async def wait_while_silent(self):
        while (left := self.silent_until - asyncio.get_running_loop().time()) > 0:
            await asyncio.sleep(left)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                await self.wait_while_silent()
                data = await self.handler(request, reader, writer)
                await self.wait_while_silent()
                if data is None:
                    break
                writer.write(data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, ValueError, asyncio.CancelledError):
            pass  # the peer disconnected or sent a malformed request, or the stand-in stops
        finally:
            self.writers.discard(writer)
            writer.close()
