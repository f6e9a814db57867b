"""Process tests of how a stream ends for its caller: a part of a stream must never look like the whole."""

import asyncio
import signal
import socket

from rig import Rig
from stranded_tests import DETECTION_S, StrandedRig

STREAM_FIELDS = {"Host": "app.example", "Deadline-Ms": 20000, "Model": "m", "Token-Count": "1000,100", "Prefix-Hash": "ab:1000", "Content-Length": 0}
EVENTS = list(range(1, 13))
MANY_EVENTS = 6000
SMALL_BUFFER = 16 << 10  # bytes, of a caller's socket


class Caller:
    """One streaming request on a socket of its own, which buffers no bytes before they are read."""

    def __init__(self, rig, kind="stream", version="1.0", fields=None, buffer=0):
        self.vm, self.data, self.end = rig.vms[0], b"", ""
        self.socket = socket.socket()
        if buffer:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
        self.socket.setblocking(False)
        head = {**STREAM_FIELDS, "Request-Id": rig.request_id(), **(fields or {})}
        self.id = head["Request-Id"]
        self.request = f"POST /{kind}/x HTTP/{version}\r\n" + "".join(f"{name}: {value}\r\n" for name, value in head.items()) + "\r\n"

    async def __aenter__(self):
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self.socket, (self.vm.ip, self.vm.port))
        await loop.sock_sendall(self.socket, self.request.encode())
        return self

    async def __aexit__(self, *_):
        self.socket.close()

    async def read(self, size=65536):
        """Reads once; returns whether the response goes on. `end` tells how the connection ended."""
        try:
            part = await asyncio.wait_for(asyncio.get_running_loop().sock_recv(self.socket, size), 15)
        except ConnectionResetError:
            self.end = "reset"
            return False
        self.data += part
        self.end = "" if part else "closed"
        return bool(part)

    async def read_events(self, count):
        while self.data.count(b"\ndata: ") < count:
            assert await self.read(), f"the stream ended: {self.data!r} {self.end}"

    async def read_rest(self):
        """Reads until the response ends as its framing says."""
        while not (self.is_chunked() and self.data.endswith(b"\r\n0\r\n\r\n")) and await self.read():
            pass
        return self

    def head(self):
        return self.data.partition(b"\r\n\r\n")[0].lower()

    def is_chunked(self):
        return b"transfer-encoding: chunked" in self.head()

    def looks_complete(self):
        return self.data.endswith(b"\r\n0\r\n\r\n") if self.is_chunked() else self.end == "closed"

    def events(self):
        return [int(line.split(b" ")[2]) for line in self.data.split(b"\n") if line.startswith(b"data: ")]


VARIANTS = [("1.0", {}), ("1.0", {"Connection": "keep-alive"}), ("1.1", {}), ("1.1", {"Connection": "close"})]


async def broken_streams_do_not_look_complete():
    """Guards against an abort that a caller without chunks takes for the end of the stream."""
    for version, fields in VARIANTS:
        async with Rig() as rig:  # engines that have failed are not used for some time
            for engine in rig.fleet.engines:
                engine.fault, engine.fault_share = "torn_after_first", 1.0
            async with Caller(rig, "digest", version, fields) as caller:
                await caller.read_rest()
                assert b" 200 " in caller.data and caller.events() == [1], caller.data
                assert caller.is_chunked() == (version == "1.1") and not caller.looks_complete(), (version, fields, caller.end)


async def streams_of_killed_vms_do_not_look_complete():
    """Guards against the end of output that the system sends for a killed process."""
    for version, fields in VARIANTS:
        async with Rig() as rig:
            for engine in rig.fleet.engines:
                engine.EVENT_INTERVAL_S = 0.1
            async with Caller(rig, "stream", version, fields) as caller:
                await caller.read_events(3)
                rig.vms[0].signal(signal.SIGKILL)
                await caller.read_rest()
                assert not caller.looks_complete() and caller.events() != EVENTS, (version, fields, caller.events(), caller.end)


async def relayed_streams_of_killed_vms_do_not_look_complete():
    """Guards against the end of a relaying VM that the first VM passes on as the end of the stream."""
    for version, fields in VARIANTS:
        async with StrandedRig(vms=2) as rig:
            for engine in rig.fleet.engines:
                engine.EVENT_INTERVAL_S = 0.1
            rig.links.cut(rig.vms[0], "refuse")
            await asyncio.sleep(DETECTION_S)
            async with Caller(rig, "digest", version, fields) as caller:
                await caller.read_events(3)
                rig.vms[1].signal(signal.SIGKILL)
                await caller.read_rest()
                assert "request_relayed" in rig.vms[0].log_text()
                assert not caller.looks_complete() and caller.events() != EVENTS, (version, fields, caller.events(), caller.end)


async def streams_cut_at_the_end_of_a_stop_do_not_look_complete():
    async with Rig(grace=3) as rig:
        for engine in rig.fleet.engines:
            engine.EVENT_INTERVAL_S = 0.6
        callers = [Caller(rig, "stream", version, fields) for version, fields in VARIANTS]
        for caller in callers:
            await caller.__aenter__()
            await caller.read_events(1)
        rig.vms[0].signal(signal.SIGTERM)
        for (version, fields), caller in zip(VARIANTS, callers):
            await caller.read_rest()
            await caller.__aexit__()
            assert not caller.looks_complete() and caller.events() != EVENTS, (version, fields, caller.events(), caller.end)
        await asyncio.wait_for(rig.vms[0].process.wait(), 2)
        assert rig.vms[0].process.returncode == 0


async def complete_streams_outlive_their_vm():
    """Guards against a reset that takes the last bytes of a complete stream from a caller who has yet to read them."""
    async with Rig() as rig:
        vm = rig.vms[0]
        for version, fields in VARIANTS:
            async with Caller(rig, "stream", version, fields) as caller:
                while f'"{caller.id}"' not in answered(vm):
                    await asyncio.sleep(0.1)
                vm.signal(signal.SIGKILL)
                await vm.process.wait()
                await caller.read_rest()
                assert caller.events() == EVENTS and caller.looks_complete(), (version, fields, caller.data, caller.end)
            await vm.start()
            await vm.wait_until_ready()


def answered(vm):
    """Returns the lines of the VM's log about answers."""
    return "\n".join(line for line in vm.log_text().splitlines() if "request_answered" in line)


async def streams_of_draining_vms_are_chunked():
    async with Rig() as rig:
        async with Caller(rig, "stream", "1.1") as early:
            await early.read_events(1)
            rig.vms[0].signal(signal.SIGTERM)
            await asyncio.sleep(0.1)
            async with Caller(rig, "stream", "1.1") as late:
                for caller in early, late:
                    await caller.read_rest()
                    assert caller.is_chunked() and caller.looks_complete() and caller.events() == EVENTS, caller.data
                assert b"connection: close" in late.head(), late.data


async def slow_readers_get_every_byte_in_order():
    async with Rig() as rig:
        for engine in rig.fleet.engines:
            engine.EVENTS, engine.EVENT_INTERVAL_S = MANY_EVENTS, 0
        for version, fields in VARIANTS:
            async with Caller(rig, "stream", version, fields, SMALL_BUFFER) as caller:
                pause = 0
                while not (caller.is_chunked() and caller.data.endswith(b"\r\n0\r\n\r\n")) and await caller.read(3000):
                    pause += 1
                    await asyncio.sleep(0.05 if pause % 10 == 0 else 0)
                assert caller.looks_complete(), (version, fields, len(caller.data), caller.end)
                expected = "".join(f"id: {number}\ndata: {caller.id} {number} v1\n\n" for number in range(1, MANY_EVENTS + 1))
                assert body_of(caller) == expected.encode(), (version, fields, len(caller.data))


def body_of(caller):
    """Returns the body without its framing."""
    rest = caller.data.partition(b"\r\n\r\n")[2]
    if not caller.is_chunked():
        return rest
    body = b""
    while True:
        size, _, rest = rest.partition(b"\r\n")
        if not int(size, 16):
            return body
        body, rest = body + rest[:int(size, 16)], rest[int(size, 16) + 2:]


TESTS = [broken_streams_do_not_look_complete, streams_of_killed_vms_do_not_look_complete, relayed_streams_of_killed_vms_do_not_look_complete,
         streams_cut_at_the_end_of_a_stop_do_not_look_complete, complete_streams_outlive_their_vm, streams_of_draining_vms_are_chunked, slow_readers_get_every_byte_in_order]
