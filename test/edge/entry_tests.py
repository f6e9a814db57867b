"""Process tests of entries in the store that other writers left and that cannot be read: they are left out alone."""

import asyncio
import base64
import json
import os
import signal
import socket
import time
from urllib.parse import unquote

from rig import Rig, call
from http_peer import response

LONG = "x" * 100_000
LONGEST_LINE = 4096  # bytes of a log line that names such an entry
SEEN_S = 1.5  # after a change of the store, until all VMs have read it
OUTAGE_S = 1.0


def nested(levels, brackets="[]"):
    if brackets == "[]":
        return "[" * levels + "]" * levels
    return '{"a":' * levels + "1" + "}" * levels


def with_field(entry, name, text):
    """Returns the entry's JSON with this JSON text as one field's value."""
    document = json.dumps({**entry, name: "@"})
    return document.replace('"@"', text).encode()


def odd_documents(entry, numbers, texts):
    """Yields a name and a document for each way in which the entry cannot be read."""
    yield "100000 arrays", nested(100_000).encode()
    yield "500000 arrays in a field", with_field(entry, "extra", nested(500_000))
    yield "150000 objects in a field", with_field(entry, "extra", nested(150_000, "{}"))
    yield "unclosed arrays", b"[" * 1_000_000
    yield "empty", b""
    yield "no JSON", b"\xff\xfe{"
    yield "no UTF-8", json.dumps(entry).encode()[:-1] + b', "more": "\xff\xc0"}'
    yield "NUL bytes", b"\0" * 100
    yield "NUL after the document", json.dumps(entry).encode() + b"\0"
    yield "array", b"[1, 2, 3]"
    for name in numbers:
        for value in ("1e999", "18446744073709551616", "-1", "1e308", "1.5", '"6"', "[]"):
            yield f"{name}={value}", with_field(entry, name, value)
    for name in texts:
        for value in ("7", "null", "[]", json.dumps(LONG), json.dumps("a\nb\r\nHost: c"), '"a\\u0000"'):
            yield f"{name}={value[:30]}", with_field(entry, name, value)


def odd_upstreams(entry):
    yield from odd_documents(entry, ("slots", "born"), ("service", "address", "zone", "state"))
    ip, port = entry["address"].split(":")
    for address in (f"{ip}:0", f"{ip}:99999", f"{ip}:65536", f"{ip}:+{port}", f"{ip}: {port}", f"{ip}:{port} ", f"{ip}:", ip, f"{ip}\0:{port}",
                    f"0.0.0.0:{port}", f"localhost:{port}", f"{ip}:{port}:{port}"):
        yield f"address={address!r}", with_field(entry, "address", json.dumps(address))
    yield "slots=1000000000", with_field(entry, "slots", "1000000000")
    yield "slots=0", with_field(entry, "slots", "0")
    yield "long version", with_field(entry, "version", json.dumps(LONG))
    yield "line breaks in the version", with_field(entry, "version", '"v1\\r\\nHost: c"')
    yield "weights beyond 63 bits", with_field(entry, "models", '[{"name": "m", "version": 18446744073709551615}]')
    yield "weights=-1", with_field(entry, "models", '[{"name": "m", "version": -1}]')
    yield "models=7", with_field(entry, "models", "7")


ALL_KINDS = ("check", "book", "stream", "digest")
ODD_IDS = ("!{}", "i-1!{}", "~{}")  # they sort before, among and after those of the stand-ins


def lines(vm, event):
    return [line for line in vm.log_text().splitlines() if f'"event":"{event}"' in line]


def put_unencoded(store, key, value):
    """Writes an item whose value is no base64."""
    store.put(key, b"")
    store.items[key]["value"] = store.changes[-1]["value"] = value


async def metric(vm, name):
    """Returns the value of a counter, or None as long as the VM has not set it."""
    _, _, body = await call(vm.ip, vm.port + 9, "GET", "/metrics", {"Host": "x"}, b"")
    return next((int(line.split()[1]) for line in body.decode().splitlines() if line.startswith(f"currantstack_{name} ")), None)


class Trap:
    """Listens at the address of the odd entries, and counts the connections."""

    def __init__(self):
        self.connections = 0

    async def __aenter__(self):
        def on_connection(_, writer):
            self.connections += 1
            writer.transport.abort()
        self.server = await asyncio.start_server(on_connection, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_):
        self.server.close()


async def check_served(rig, trap=None, rounds=4):
    """Checks that the VMs run, know the sound upstreams alone and serve each kind of request."""
    for vm in rig.vms:
        assert vm.process.returncode is None, f"{vm.name} ended; see {vm.log_path}"
        assert await vm.is_ready(), f"{vm.name} is not ready"
        for _ in range(rounds):
            kinds = (*(4 * ["check", "book"]), "stream", "digest")
            for kind, answer in zip(kinds, await asyncio.gather(*(rig.send(kind, vm) for kind in kinds))):
                assert answer[1] == 200, (vm.name, kind, answer)
        assert await metric(vm, "upstreams_known") == len(rig.fleet.upstreams), f"{vm.name} knows other upstreams than the sound ones"
    assert not trap or trap.connections == 0, f"{trap.connections} connections to odd entries"


def check_lines(vm, keys, events=("entry_ignored",)):
    """Checks that one short line names each of these keys."""
    found = [line for event in events for line in lines(vm, event)]
    assert all(len(line) < LONGEST_LINE for line in found), max(len(line) for line in found)
    named = [json.loads(line[line.index("{"):])["key"] for line in found]
    for key in keys:
        assert named.count(key) == 1, f"{named.count(key)} lines name {key}"


async def restart(vm):
    vm.signal(signal.SIGKILL)
    await vm.process.wait()
    await vm.start()
    await vm.wait_until_ready()


async def change_during_outage(rig, change):
    """Lets the store be away, with the history dropped, while `change` writes to it."""
    store = rig.fleet.store
    store.mode = "reset"
    store.change_event.set()
    await asyncio.sleep(OUTAGE_S)
    change()
    store.compact()
    store.mode = "up"


async def odd_upstream_entries_are_left_out_alone():
    """Guards against an entry of another writer that ends the VMs, keeps them from the others, or is used."""
    async with Rig(vms=2) as rig, Trap() as trap:
        store = rig.fleet.store
        keys = []
        for place, upstream in zip(ODD_IDS, (rig.fleet.services[0], rig.fleet.engines[0], rig.fleet.engines[-1])):
            entry = {**upstream.entry(), "address": trap.address}
            for number, (_, document) in enumerate(odd_upstreams(entry)):
                keys.append(f"servers/{place.format(number)}")
                store.put(keys[-1], document)
                await asyncio.sleep(0.02)  # within the rate of log lines
            keys.append(f"servers/{place.format('unencoded')}")
            put_unencoded(store, keys[-1], "no base64!")
            keys += [f"servers/{place.format('with space')} x", f"servers/{place.format('other-writer')}/{upstream.id}"]
            for key in keys[-2:]:
                store.put(key, json.dumps(entry).encode())
            await asyncio.sleep(SEEN_S)
            await check_served(rig, trap)
        store.put(f"servers/{LONG}", json.dumps({**rig.fleet.services[0].entry(), "address": trap.address}).encode())
        await asyncio.sleep(SEEN_S)
        await check_served(rig, trap)
        check_lines(rig.vms[0], keys)
        store.delete(f"servers/{LONG}")  # it would not fit into the request for the next page
        await change_during_outage(rig, lambda: store.put("servers/!after", b"{"))
        await asyncio.sleep(SEEN_S)
        await check_served(rig, trap)
        check_lines(rig.vms[0], [*keys, "servers/!after"])
        await restart(rig.vms[1])
        await check_served(rig, trap)
        for vm in rig.vms:
            assert not [line for line in vm.log_text().splitlines() if len(line) > LONGEST_LINE]


async def entries_that_turn_odd_are_not_used():
    """Guards against the previous content of an entry that cannot be read any more."""
    async with Rig() as rig:
        store = rig.fleet.store
        odd = rig.fleet.services[0]  # in the VM's place, so that it is preferred

        async def check_used(is_used):
            begin = len(rig.fleet.history)
            for _ in range(4):
                answers = await asyncio.gather(*(rig.send("check") for _ in range(8)))
                assert all(answer[1] == 200 for answer in answers), answers
            used = {entry["upstream"] for entry in rig.fleet.history[begin:] if entry["event"] == "run"}
            assert (odd.id in used) == is_used, (used, odd.id)

        await check_used(True)
        for document in (b"", nested(100_000).encode(), with_field(odd.entry(), "address", f'"127.0.0.1:0"'),
                         with_field(odd.entry(), "slots", "1e999")):
            for by_watch in (True, False):
                if by_watch:
                    store.put(f"servers/{odd.id}", document)
                else:
                    await change_during_outage(rig, lambda: store.put(f"servers/{odd.id}", document))
                await asyncio.sleep(SEEN_S)
                await check_used(False)
                odd.register()
                await asyncio.sleep(SEEN_S)
                await check_used(True)
        store.put(f"servers/other-writer/{odd.id}", json.dumps(odd.entry()).encode())
        store.delete(f"servers/other-writer/{odd.id}")
        await asyncio.sleep(SEEN_S)
        await check_used(True)


async def entries_of_services_that_are_not_named_hide_no_upstream():
    """Guards against an entry of another writer that is newer than that of the sound upstream at its address."""
    async with Rig() as rig:
        store = rig.fleet.store
        for upstream in rig.fleet.upstreams:
            store.put(f"servers/odd-{upstream.id}", json.dumps({**upstream.entry(), "service": "unnamed"}).encode())
        await asyncio.sleep(SEEN_S)
        for _ in range(4):
            for kind, answer in zip(ALL_KINDS, await asyncio.gather(*(rig.send(kind) for kind in ALL_KINDS))):
                assert answer[1] == 200, (kind, answer)


async def odd_entries_of_engines_add_no_software_version():
    """Guards against an entry of another writer whose version makes a service count as mixed, so that callers cannot go on with streams."""
    changes = [lambda entry, field=field: entry.pop(field) for field in ("phase", "cold_left_ms", "seq", "version")]
    changes += [lambda entry, field=field: entry.update({field: "x"}) for field in ("cold_left_ms", "seq", "service")]
    async with Rig() as rig:
        for engine in rig.fleet.engines:
            for number, change in enumerate(changes):
                entry = {**engine.entry(), "version": "v9"}
                change(entry)
                rig.fleet.store.put(f"servers/odd{number}-{engine.id}", json.dumps(entry).encode())
        await asyncio.sleep(SEEN_S)
        for _ in range(4):
            _, status, _, body = await rig.send("stream", headers={"Last-Event-Id": 3})
            assert status == 200 and body.count(b"data: ") == rig.fleet.engines[0].EVENTS - 3, (status, body)
        assert not await metric(rig.vms[0], "services_of_several_versions")


async def odd_entries_are_logged_once_per_revision():
    """Guards against a log that each poll or read fills."""
    async with Rig() as rig:
        store, vm = rig.fleet.store, rig.vms[0]
        keys = ["servers/odd", "op/config", "currantstack/quarantine/odd"]

        def counts():
            ignored = [json.loads(line[line.index("{"):])["key"] for line in lines(vm, "entry_ignored")]
            return [ignored.count(keys[0]), len(lines(vm, "routes_unreadable")), min(1, ignored.count(keys[2]))]

        for revision in (1, 2):
            for key in keys[:2] + (keys[2:] if revision == 1 else []):
                store.put(key, b"{")
            await asyncio.sleep(SEEN_S)
            for _ in range(3):
                await change_during_outage(rig, lambda: None)
                await asyncio.sleep(SEEN_S)
            assert counts() == [revision, revision, 1], counts()
        await check_served(rig)


async def odd_configurations_leave_the_last_one_in_force():
    async with Rig() as rig:
        store = rig.fleet.store
        good = json.loads(base64.b64decode(store.items["op/config"]["value"]))
        version = good["version"] + 1
        documents = [document for _, document in odd_documents({**good, "version": version}, ("version",), ())]
        documents.append(with_field({**good, "version": version}, "routes", "7"))
        for name, value in (("timeout_ms", "1e999"), ("attempts", "18446744073709551616"), ("priority", "-1"), ("type", '"other"'),
                            ("host", "null"), ("name", json.dumps(LONG))):
            route = {**good["routes"][0], name: "@"}
            documents.append(json.dumps({**good, "version": version, "routes": [route]}).replace('"@"', value).encode())
        for engine in ("7", "[]", nested(1000)):
            services = [{**good["services"][0], "engine": "@"}, good["services"][1]]
            documents.append(json.dumps({**good, "version": version, "services": services}).replace('"@"', engine).encode())
        documents.append(json.dumps({**good, "version": version, "routes": 10_000 * [{}]}).encode())
        for document in documents:
            store.put("op/config", document)
            await asyncio.sleep(0.05)
        await asyncio.sleep(SEEN_S)
        await check_served(rig, rounds=1)
        assert len(lines(rig.vms[0], "routes_in_force")) == 1, "a configuration that cannot be read came into force"
        assert all(len(line) < LONGEST_LINE for line in lines(rig.vms[0], "routes_unreadable"))
        await change_during_outage(rig, lambda: None)
        await asyncio.sleep(SEEN_S)
        await check_served(rig, rounds=1)
        rig.fleet.configure()
        await asyncio.sleep(SEEN_S)
        assert len(lines(rig.vms[0], "routes_in_force")) == 2


async def odd_entries_of_vms_and_quarantines_are_left_out_alone():
    async with Rig(vms=2) as rig:
        store = rig.fleet.store
        documents = [document for _, document in odd_documents({"place": "z1", "ip": "127.0.0.9", "port": 7000}, ("port",), ("place", "ip"))]
        vm_keys = [f"currantstack/vms/{place}{number}" for number in range(len(documents)) for place in ("!", "~")]
        for key, document in zip(vm_keys, [document for document in documents for _ in range(2)]):
            store.put(key, document)
        entry = {"traits": ["ab"], "until_ms": 1, "crashed": ["i-1"], "observer": "vm9", "crash_ms": 1}
        for number, (_, document) in enumerate(odd_documents(entry, ("until_ms", "crash_ms"), ("observer",))):
            store.put(f"currantstack/quarantine/{number}", document)
        later = {"traits": {"of": "a later release"}, "until_ms": int(time.time() * 1000) + 60_000}
        store.put("currantstack/quarantine/later", json.dumps(later).encode())
        store.put("currantstack/quarantine/many", json.dumps({**entry, "until_ms": 1 << 62, "traits": 10_000 * ["ab"]}).encode())
        for vm in rig.vms:
            await restart(vm)
        await asyncio.sleep(3)
        await check_served(rig)
        for vm in rig.vms:
            assert not [line for line in vm.log_text().splitlines() if len(line) > LONGEST_LINE]
            assert await metric(vm, "vms_known") == len(rig.vms), f"{vm.name} knows other VMs than the sound ones"
        assert "currantstack/quarantine/later" in store.items, "a VM has deleted an entry that it cannot read"


async def odd_datagrams_are_ignored():
    """Guards against nesting that the reader follows on its stack."""
    async with Rig(vms=2) as rig:
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        levels = 8000
        bodies = [b"\x91" * levels, b"\x81\xa1k" * (levels // 3), os.urandom(levels)]
        for name in (b"succeeded", b"entries", b"crashes", b"work", b"costs", b"software", b"cut"):
            bodies.append(b"\x81" + bytes([0xa0 + len(name)]) + name + b"\x91" * (levels - 20) + b"\xc0")
        for vm in rig.vms:
            for body in bodies:
                for magic in (b"", b"Q", b"V"):
                    sender.sendto(magic + body, (vm.ip, vm.port + 2))
                    await asyncio.sleep(0.01)
        sender.close()
        await asyncio.sleep(0.5)
        await check_served(rig)
        assert all(lines(vm, "datagram_ignored") for vm in rig.vms)


async def odd_answers_of_the_store_change_nothing():
    """Guards against a list of another type that ends the VMs, or that they take for an empty one."""
    async with Rig() as rig:
        store, sound = rig.fleet.store, rig.fleet.store.range

        def with_odd_flag(request):
            prefix = unquote(request.query["prefix"])
            items = [item for key, item in store.items.items() if key.startswith(prefix)]
            return response(200, body={"items": items, "has_more": 7, "as_of": store.revision})

        for answer in (lambda _: response(200, body=[]), lambda _: response(200, body={}), lambda _: response(200, body={"items": 7}),
                       lambda _: response(200, body={"items": {"a": []}, "has_more": "x", "as_of": "y"}), with_odd_flag):
            store.range = answer
            await change_during_outage(rig, lambda: None)
            await asyncio.sleep(SEEN_S)
            await check_served(rig, rounds=1)
        store.range = sound
        await asyncio.sleep(SEEN_S)
        await check_served(rig, rounds=1)


async def order_holder_of_another_writer_is_replaced():
    """Guards against a key that no VM wrote, after which no VM sends orders, or two do."""
    key = "currantstack/order-holder"
    async with Rig(vms=2) as rig:
        store = rig.fleet.store

        def found(event):
            return sorted((json.loads(line[line.index("{"):]) for vm in rig.vms for line in lines(vm, event)), key=lambda line: line["time_ms"])

        async def wait_for(event, count, limit):
            for _ in range(limit * 20):
                if len(found(event)) >= count:
                    return
                await asyncio.sleep(0.05)
            raise AssertionError(f"{len(found(event))} lines of {event}, not {count}")

        store.put(f"{key}-of-another-writer", b"x")
        await wait_for("holder_won", 1, 15)
        store.put(key, b"\xff\n" + b"x" * 100_000)
        await wait_for("holder_resigned", 1, 4)
        await wait_for("holder_won", 2, 25)
        first, second = found("holder_won")
        assert second["fence"] > first["fence"] and second["time_ms"] >= found("holder_resigned")[0]["time_ms"]
        await check_served(rig)


TESTS = [odd_upstream_entries_are_left_out_alone, entries_that_turn_odd_are_not_used,
         entries_of_services_that_are_not_named_hide_no_upstream, odd_entries_of_engines_add_no_software_version,
         odd_entries_are_logged_once_per_revision,
         odd_configurations_leave_the_last_one_in_force, odd_entries_of_vms_and_quarantines_are_left_out_alone, odd_datagrams_are_ignored,
         order_holder_of_another_writer_is_replaced, odd_answers_of_the_store_change_nothing]
