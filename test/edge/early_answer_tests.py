"""Process tests of upstreams that answer before they have read the request, or with a status that is none."""

import asyncio
import socket

from http_peer import Request, reset
from rig import Rig, call

UPLOAD = b"u" * 90_000  # does not fit into the buffers of an upstream that does not read it
RECEIVE_BUFFER = 4096
SETTLE_S = 0.1  # from the end of an early answer until its connection is reset
ANSWER = b"0123456789" * 100


async def answer_early(upstream, how):
    """Has the upstream answer uploads at once with half of a body, which has no length, and end the connection without reading on."""
    async def serve(reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            method, target, _ = head.split(" ", 2)
            fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head.split("\r\n")[1:])}
            request = Request(method, target, fields, b"")
            if int(fields.get("content-length") or 0) < len(UPLOAD):
                writer.write(await upstream.server.handler(request, reader, writer) or b"")
                return
            writer.transport.pause_reading()
            upstream.record("run", request)
            lines = "".join(f"{name}: {value}\r\n" for name, value in upstream.headers(request))
            writer.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode() + ANSWER[:len(ANSWER) // 2])
            if how == "close":
                writer.write_eof()
            await asyncio.sleep(SETTLE_S)
            reset(writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()
    upstream.server.server.close()
    upstream.server.serve = serve
    await upstream.server.start()
    for listener in upstream.server.server.sockets:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)


async def answers_that_end_before_their_upload_are_not_whole():
    """Guards against a part of an answer that counts as whole because its upstream closes the connection while the request is still sent."""
    for how in ("close", "reset"):
        async with Rig() as rig:
            for service in rig.fleet.services:
                await answer_early(service, how)
            vm = rig.vms[0]
            for kind in ("book", "check"):
                fields = {"Host": "app.example", "Request-Id": rig.request_id(), "Deadline-Ms": 6000}
                status, headers, body = await call(vm.ip, vm.port, "POST", f"/{kind}/x", fields, UPLOAD, 10)
                assert status == 502 and "server-stamp" not in headers, (how, kind, status, body)
                assert rig.runs_of(fields["Request-Id"]), (how, kind)


async def answers_with_a_status_that_is_none_are_not_passed_on():
    """Guards against bytes of an upstream in trouble that reach the caller as an answer."""
    async with Rig() as rig:
        for line in ("HTTP/1.1 000 X", "HTTP/1.1 099 X", "HTTP/1.1 600 X", "HTTP/1.1 999", "HTTP/1.1 200X", "HTTP/1.1 20 X", "HTTP/1.1 2000 X"):
            async def run(request, reader, writer, line=line):
                lines = "".join(f"{name}: {value}\r\n" for name, value in rig.fleet.services[0].headers(request))
                return f"{line}\r\n{lines}Content-Length: {len(ANSWER)}\r\n\r\n".encode() + ANSWER
            for service in rig.fleet.services:
                service.run = run
            _, status, headers, body = await rig.send("book")
            assert status == 502 and "server-stamp" not in headers, (line, status, body)


TESTS = [answers_that_end_before_their_upload_are_not_whole, answers_with_a_status_that_is_none_are_not_passed_on]
