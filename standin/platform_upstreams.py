"""Stand-ins of the platform's upstreams: engines that prefill or decode, and plain services. Each keeps a history of its runs."""

import asyncio
import itertools
import json
import time

from http_peer import Server, chunk, response

STAMP = "Server-Stamp"


class Upstream:
    """What engines and services have in common: registration, health, faults, and the history of runs."""

    numbers = itertools.count(1)

    def __init__(self, store, service, place, history, port=0):
        self.store, self.service, self.place, self.history = store, service, place, history
        self.id = f"i-{next(self.numbers)}"
        self.born = int(time.time() * 1000)
        self.server = Server("127.0.0.1", port, self.handle)
        self.state, self.fault, self.fault_share = "ready", "", 0.0
        self.beat = 0

    @property
    def address(self):
        return f"127.0.0.1:{self.server.port}"

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": self.place, "version": "v1", "slots": 6, "state": self.state,
                "cold_left_ms": 0, "seq": self.beat, "born": self.born}

    async def start(self):
        await self.server.start()
        self.register()
        return self

    def register(self):
        self.beat += 1
        self.store.put(f"servers/{self.id}", json.dumps(self.entry()).encode())

    def drain(self):
        self.state = "draining"
        self.register()
        self.history.append({"event": "draining", "upstream": self.id, "at": time.monotonic()})

    def crash(self):
        self.server.stop()
        self.store.delete(f"servers/{self.id}")

    async def restart(self):
        """A new incarnation at the same port."""
        self.server.stop()
        self.store.delete(f"servers/{self.id}")
        self.id, self.born, self.state = f"i-{next(self.numbers)}", int(time.time() * 1000), "ready"
        await asyncio.sleep(0.2)
        await self.server.start()
        self.register()

    def note(self, event, request, **more):
        self.history.append({"event": event, "upstream": self.id, "service": self.service, "request": request.header("request-id"),
                             "target": request.target, "at": time.monotonic(), **more})

    def headers(self, request):
        return [("Request-Id", request.header("request-id")), (STAMP, f"stamp-{self.id}"), ("Instance-Id", self.id)]

    def is_faulty(self, kind):
        return self.fault == kind and self.store.random.random() < self.fault_share

    async def handle(self, request, reader, writer):
        if request.path == "/healthz":
            return response(200 if self.state == "ready" else 503, [("Instance-Id", self.id)])
        if request.header("expect-instance", self.id) != self.id:
            return response(421, [("Instance-Id", self.id)])
        if self.is_faulty("shed"):
            return response(503, [("Not-Run", "1")])
        if self.is_faulty("hang"):
            await asyncio.sleep(30)
            return None
        return await self.run(request, reader, writer)


class Service(Upstream):
    WORK = 0.02  # seconds

    async def run(self, request, reader, writer):
        self.note("run", request)
        await asyncio.sleep(self.WORK)
        body = json.dumps({"echo": request.header("request-id"), "body": len(request.body)}).encode()
        if self.is_faulty("lost"):
            writer.transport.abort()
            return None
        if self.is_faulty("error"):
            return response(500, self.headers(request), b"failed")
        if self.is_faulty("torn"):
            writer.write(response(200, self.headers(request), body)[:-5])
            await writer.drain()
            return None
        if self.is_faulty("foreign"):
            return response(200, [("Request-Id", "someone-else"), (STAMP, "x")], b"not yours")
        answer = response(200, self.headers(request), body)
        return answer + answer if self.is_faulty("surplus") else answer


class Engine(Upstream):
    TOKENS = 24000
    EVENTS, GAP = 12, 0.015  # events of a stream, seconds between them
    READ = 60.0  # tokens a millisecond

    def __init__(self, store, service, place, history, role, port=0):
        super().__init__(store, service, place, history, port)
        self.role, self.orders, self.fence = role, 0, 0
        self.handles, self.holds, self.used = {}, {}, 0
        self.numbers_here = itertools.count(1)

    def entry(self):
        return {**super().entry(), "phase": self.role, "slots": 16, "models": [{"name": "m", "version": 1, "adapters": []}]}

    async def handle(self, request, reader, writer):
        name = request.path.strip("/").split("/")
        if name[0] == "report":
            return response(200, body={"phase": self.role, "busy": False, "seq": self.orders, "waiting": 0, "running": 0})
        if name[0] == "order":
            return self.order(request)
        if name[0] == "hold-take":
            tokens = request.json()["tokens"]
            if self.used + sum(self.holds.values()) + tokens > self.TOKENS:
                return response(503)
            hold = f"h{next(self.numbers_here)}"
            self.holds[hold] = tokens
            asyncio.get_running_loop().call_later(request.json()["ttl_ms"] / 1000, self.holds.pop, hold, None)
            return response(200, body={"hold": hold})
        if name[0] == "hold-drop":
            self.holds.pop(name[1], None)
            return response(200)
        if name[0] == "kv-handle":
            self.handles.pop(name[1], None)
            return response(200)
        return await super().handle(request, reader, writer)

    def order(self, request):
        body = request.json()
        self.note("order", request, holder=body["holder"], fence=body["fence"])
        if body["fence"] < self.fence:
            return response(412)
        self.fence = body["fence"]
        if body.get("expected", self.orders) != self.orders:
            return response(409)
        if body["phase"] == self.role:
            return response(200)
        self.orders += 1
        self.role = body["phase"]
        self.register()
        return response(202)

    async def run(self, request, reader, writer):
        prompt = int(request.header("token-count", "1000,100").split(",")[0])
        if request.header("stage") == "prefill":
            if self.role != "prefill":
                return response(421)
            await asyncio.sleep(prompt / self.READ / 1000)
            self.note("prompt_read", request)
            handle = f"k{next(self.numbers_here)}"
            self.handles[handle] = request.header("request-id")
            asyncio.get_running_loop().call_later(0.5, self.handles.pop, handle, None)
            return response(200, body={"kv_handle": handle, "tokens": prompt, "version": 1})
        if self.role != "decode" or self.is_faulty("moved"):
            return response(421)
        source = request.header("kv-source")
        if source and not self.take(source, request):
            return response(503, [("Not-Run", "1")])
        self.holds.pop(request.header("kv-hold"), None)
        if not source:
            await asyncio.sleep(2 * prompt / self.READ / 1000)
        return await self.stream(request, reader, writer, prompt)

    def take(self, source, request):
        address, _, handle = source.partition("/")
        engine = self.store.engines.get(address)
        owner = engine.handles.pop(handle, None) if engine else None
        if owner is not None and owner != request.header("request-id"):
            self.note("foreign_handle", request, owner=owner)
        return owner is not None

    async def stream(self, request, reader, writer, prompt):
        self.note("run", request, after=int(request.header("last-event-id", "0")))
        self.used += prompt
        try:
            head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            writer.write((head + "".join(f"{name}: {value}\r\n" for name, value in self.headers(request)) + "\r\n").encode())
            for number in range(int(request.header("last-event-id", "0")) + 1, self.EVENTS + 1):
                await asyncio.sleep(self.GAP)
                event = f"id: {number}\ndata: {request.header('request-id')} {number}\n\n".encode()
                if self.is_faulty("torn"):
                    writer.write(chunk(event[: len(event) // 2]))
                    await writer.drain()
                    writer.transport.abort()
                    return None
                if self.is_faulty("stall"):
                    await asyncio.sleep(30)
                writer.write(chunk(event))
                await writer.drain()
                if reader.at_eof():
                    self.note("stopped", request, after=number)
                    return None
            writer.write(chunk(b""))
            await writer.drain()
            return b""
        finally:
            self.used -= prompt
