"""Process tests of upstreams whose status is none."""

from rig import Rig

ANSWER = b"0123456789" * 100


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


TESTS = [answers_with_a_status_that_is_none_are_not_passed_on]
