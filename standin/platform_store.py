"""Stand-in for the platform's key-value store: paged reads, long polls, transactions and leases, with injected faults."""

import asyncio
import base64
import copy
import itertools
import json
import random
import re
from urllib.parse import unquote

from http_peer import Server, response


class PlatformStore:
    MAX_HISTORY = 500  # changes that are retained for watches
    PAGE_ITEMS, PAGE_BYTES = 50, 1 << 20  # of a read; a page has one item at least

    def __init__(self, ip="127.0.0.1", port=0, seed=0):
        self.server = Server(ip, port, self.handle)
        self.items, self.changes, self.leases = {}, [], {}
        self.revision = 1
        self.history_s = None  # if set, changes are retained for this time
        self.recorded_at = {}  # time of each change, by its revision
        self.compacted_revision = 0  # the history holds no changes up to this revision
        self.era = 1  # rises each time the store returns from a copy
        self.calls = 0
        self.change_event = asyncio.Event()
        self.lease_ids = itertools.count(1000)
        self.random = random.Random(seed)
        # Modes besides "up": "silent" never answers, "busy" answers 503, "many" answers 429, and "reset" resets connections.
        self.mode, self.delay_s, self.lost_reply_share = "up", 0.002, 0.0
        self.refused_share = 0.0  # of all calls, which are answered with 429
        self.cut_watches_after_s = None  # if set, the connection of each watch that waits is closed after this time
        self.blocked_ips = set()  # callers that never get an answer
        self.hidden_prefix = ""  # if set, reads and watches leave out the keys that begin with it, as a store that has lost them does

    async def start(self):
        await self.server.start()
        asyncio.get_running_loop().create_task(self.expire_leases())
        return self

    @property
    def address(self):
        return f"{self.server.ip}:{self.server.port}"

    # Changes

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["created_rev"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision, "created_rev": created,
                           "lease": lease}
        self.record_change(dict(self.items[key]))

    def delete(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.record_change({"key": key, "revision": self.revision, "deleted": True})

    def record_change(self, change):
        self.changes.append(change)
        self.recorded_at[change["revision"]] = asyncio.get_running_loop().time()
        if len(self.changes) > self.MAX_HISTORY:
            self.compacted_revision = self.changes.pop(0)["revision"]
        self.change_event.set()
        self.change_event = asyncio.Event()

    def compact(self):
        """Drops all history; watches that need it are answered with 410."""
        self.changes, self.compacted_revision = [], self.revision

    def drop_old_changes(self):
        now = asyncio.get_running_loop().time()
        while self.history_s and self.changes and now - self.recorded_at[self.changes[0]["revision"]] > self.history_s:
            self.compacted_revision = self.changes.pop(0)["revision"]

    def copy(self):
        """Returns a copy from which `restore` continues."""
        return copy.deepcopy((self.items, self.changes, self.leases, self.revision, self.compacted_revision))

    def restore(self, state):
        """Returns to a copy: what was written since is lost, leases too, and its revisions are given out again."""
        self.items, self.changes, self.leases, self.revision, self.compacted_revision = copy.deepcopy(state)
        now = asyncio.get_running_loop().time()
        self.leases = {lease: (now + ttl / 1000, ttl) for lease, (_, ttl) in self.leases.items()}
        self.era += 1
        self.change_event.set()
        self.change_event = asyncio.Event()

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.05)
            now = asyncio.get_running_loop().time()
            for lease in [number for number, (end, _) in self.leases.items() if end < now]:
                self.revoke_lease(lease)

    def revoke_lease(self, lease):
        if self.leases.pop(lease, None):
            for key in [key for key, item in self.items.items() if item["lease"] == lease]:
                self.delete(key)

    # Calls

    async def handle(self, request, reader, writer):
        if self.mode == "silent" or writer.get_extra_info("peername")[0] in self.blocked_ips:
            await asyncio.sleep(30)
            return None
        await asyncio.sleep(self.delay_s)
        if self.mode == "busy":
            return response(503)
        if self.mode == "many" or self.random.random() < self.refused_share:
            return response(429)
        if self.mode == "reset":
            writer.transport.abort()
            return None
        self.calls += 1
        answer = await self.dispatch(request)
        if answer:
            line, end, rest = answer.partition(b"\r\n")
            answer = line + end + f"Store-Era: {self.era}\r\n".encode() + rest
        if request.method == "POST" and self.random.random() < self.lost_reply_share:
            writer.transport.abort()  # the change has taken effect and its reply is lost
            return None
        return answer

    async def dispatch(self, request):
        parts = request.path.strip("/").split("/")
        if parts[0] == "kv-key":
            item = self.items.get(unquote(request.query["key"]))
            return response(200, body={**item, "as_of": self.revision}) if item else response(404)
        if parts[0] == "kv-range":
            return self.range(request)
        if parts[0] == "kv-watch":
            return await self.watch(request)
        if parts[0] == "kv-txn":
            return self.transact(request.json())
        if parts[0] == "kv-lease":
            lease, ttl = next(self.lease_ids), request.json()["ttl_ms"]
            self.leases[lease] = (asyncio.get_running_loop().time() + ttl / 1000, ttl)
            return response(200, body={"lease": lease, "ttl_ms": ttl})
        if parts[0] == "kv-keep":
            return self.renew_lease(int(parts[1]))
        if parts[0] == "kv-lease-end":
            self.revoke_lease(int(parts[1]))
            return response(200)
        return response(400)

    def is_hidden(self, key):
        return bool(self.hidden_prefix) and key.startswith(self.hidden_prefix)

    def range(self, request):
        prefix, after = unquote(request.query["prefix"]), unquote(request.query.get("after", ""))
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after and not self.is_hidden(key))
        page, size = [], 0
        for key in keys[:self.PAGE_ITEMS]:
            size += len(self.items[key]["value"])
            if page and size > self.PAGE_BYTES:
                break
            page.append(key)
        items = [self.items[key] for key in page]
        return response(200, body={"items": items, "has_more": len(keys) > len(page), "as_of": self.revision})

    async def watch(self, request):
        prefix, after = unquote(request.query["prefix"]), int(request.query["after"])
        begin = asyncio.get_running_loop().time()
        end = begin + int(request.query["wait_ms"]) / 1000
        self.drop_old_changes()
        if after < self.compacted_revision or after > self.revision:
            return response(410)
        while True:  # a poll that is already waiting reports only at its end that the history was compacted
            events = [change for change in self.changes
                      if change["revision"] > after and change["key"].startswith(prefix) and not self.is_hidden(change["key"])]
            left = end - asyncio.get_running_loop().time()
            self.drop_old_changes()
            if left <= 0 and after < self.compacted_revision:
                return response(410)
            if events or left <= 0 or self.mode != "up":
                return response(200 if self.mode == "up" else 503, body={"events": events, "as_of": self.revision})
            cut_after_s = self.cut_watches_after_s
            if cut_after_s is not None and asyncio.get_running_loop().time() - begin >= cut_after_s:
                return None
            try:
                await asyncio.wait_for(self.change_event.wait(), min(left, 0.2 if cut_after_s is None else 0.02))
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        for condition in body.get("expected", []):
            item = self.items.get(condition["key"])
            if (item["revision"] if item else 0) != condition["revision"]:
                current = [self.items[entry["key"]] for entry in body["expected"] if entry["key"] in self.items]
                return response(412, body={"items": current})
        if any(put.get("lease") and put["lease"] not in self.leases for put in body.get("puts", [])):
            return response(404)
        for put in body.get("puts", []):
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in body.get("deletes", []):
            self.delete(key)
        return response(200, body={"revision": self.revision})

    def renew_lease(self, lease):
        if lease not in self.leases:
            return response(404)
        _, ttl = self.leases[lease]
        self.leases[lease] = (asyncio.get_running_loop().time() + ttl / 1000, ttl)
        return response(200, body={"ttl_ms": ttl})


class StoreView:
    """The store as one VM sees it, on a port of its own: upstreams have the addresses that `address_of` returns for theirs, and VMs those
    that `vm_address_of` returns for their names, IP addresses and ports."""

    VM_PREFIX = "currantstack/vms/"

    def __init__(self, store, address_of, vm_address_of=None):
        self.store, self.address_of, self.vm_address_of = store, address_of, vm_address_of
        self.server = Server(store.server.ip, 0, self.handle)

    async def start(self):
        await self.server.start()
        return self

    @property
    def address(self):
        return f"{self.server.ip}:{self.server.port}"

    async def handle(self, request, reader, writer):
        answer = await self.store.handle(request, reader, writer)
        head, _, body = (answer or b"").partition(b"\r\n\r\n")
        if not body:
            return answer
        body = json.loads(body)
        for item in body.get("items", body.get("events", [body])):
            key = item.get("key", "")
            if key.startswith("servers/") and "value" in item:
                item["value"] = base64.b64encode(await self.translate(base64.b64decode(item["value"]))).decode()
            if key.startswith(self.VM_PREFIX) and "value" in item and self.vm_address_of:
                entry = json.loads(base64.b64decode(item["value"]))
                entry["ip"], entry["port"] = await self.vm_address_of(key.removeprefix(self.VM_PREFIX), (entry["ip"], entry["port"]))
                item["value"] = base64.b64encode(json.dumps(entry).encode()).decode()
        data = json.dumps(body).encode()
        return re.sub(rb"Content-Length: \d+", b"Content-Length: %d" % len(data), head) + b"\r\n\r\n" + data

    async def translate(self, value):
        """Returns an upstream's entry with the address of this view; what is no entry stays as it is."""
        try:
            entry = json.loads(value)
            return json.dumps({**entry, "address": await self.address_of(entry["address"])}).encode()
        except (ValueError, TypeError, KeyError):
            return value
