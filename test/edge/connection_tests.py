"""Process tests of the configuration's limits on callers' connections."""

import asyncio
import json

from platform_fleet import configuration
from rig import Rig, read_response

SMALL = b"GET /check/x HTTP/1.1\r\nHost: app.example\r\nRequest-Id: kept\r\nContent-Length: 0\r\n\r\n"


async def limit(rig, **limits):
    rig.fleet.version += 3
    changed = configuration(rig.fleet.version)
    changed["limits"].update(limits)
    rig.fleet.store.put("op/config", json.dumps(changed).encode())
    await asyncio.sleep(1)


async def heads_up_to_the_configured_limit_are_served():
    async with Rig() as rig:
        for max_bytes in (16384, 1000, 40000):
            await limit(rig, max_header_bytes=max_bytes)
            status = (await rig.send("book", headers={"X-Long": "h" * (max_bytes - 400)}))[1]
            assert status == 200, (max_bytes, status)
            request, status, headers, _ = await rig.send("book", headers={"X-Long": "h" * max_bytes})
            assert status == 431 and headers["connection"] == "close", (max_bytes, status)
            assert not rig.runs_of(request)


async def idle_connections_are_closed_after_the_configured_time():
    async with Rig() as rig:
        vm = rig.vms[0]
        reader, writer = await asyncio.open_connection(vm.ip, vm.port)
        writer.write(SMALL)
        assert (await read_response(reader))[0] == 200
        await limit(rig, idle_timeout_ms=1500)
        await asyncio.sleep(4)
        writer.write(SMALL)  # within the time that was in force when the last request was sent
        assert (await read_response(reader))[0] == 200, "a lowered limit closes a connection that its caller may still use"
        await asyncio.sleep(1.2)
        writer.write(SMALL)
        assert (await read_response(reader))[0] == 200, "closed too soon"
        assert await asyncio.wait_for(reader.read(10), 4) == b""
        writer.close()


async def slow_heads_are_cut_off_after_the_configured_time():
    async with Rig() as rig:
        vm = rig.vms[0]
        await limit(rig, header_timeout_ms=1000)
        reader, writer = await asyncio.open_connection(vm.ip, vm.port)
        writer.write(SMALL[:20])
        assert await asyncio.wait_for(reader.read(10), 5) == b""
        writer.close()


TESTS = [heads_up_to_the_configured_limit_are_served, idle_connections_are_closed_after_the_configured_time,
         slow_heads_are_cut_off_after_the_configured_time]
