"""Stand-ins for the platform's upstreams: prefill and decode engines and plain services, which record their runs in a shared history."""

import asyncio
import itertools
import json
import math
import time

from http_peer import Server, chunk, reset, response

STAMP = "Server-Stamp"
LEAVING = "Server-Leaving"  # "1" in the responses of an upstream that stops soon
LIMIT = "Server-Limit"  # requests a second that an upstream takes from all VMs together

# Faults that send bytes without end: what follows the first lines of a head (None: no head at all), and the bytes that are repeated.
JUNK = {
    "endless_head": (b"", b"X-Junk: " + 200 * b"j" + b"\r\n"),
    "endless_line": (b"X-Junk: ", 4096 * b"j"),
    "endless_interim": (None, 20 * b"HTTP/1.1 100 Continue\r\n\r\n"),
    "endless_bytes": (None, 4096 * b"j"),
    "endless_body": (b"\r\n", 4096 * b"j"),
    "endless_chunks": (b"Transfer-Encoding: chunked\r\n\r\n", b"1000\r\n" + 4096 * b"j" + b"\r\n"),
    "endless_blank_lines": (b"\r\n", 4096 * b"\n"),
    "endless_events": (b"\r\n", b"data: " + 4096 * b"j" + b"\n\n"),
    "endless_comments": (b"\r\n", 64 * b": junk\n\n"),
}


BREAKS = ("break_close", "break_reset", "break_silence")  # faults of living engines, drawn before each event
EARLY_END = "break_end"  # the last chunk comes too early


class Upstream:
    """Registration, health, faults and the recorded history, which engines and services share."""

    ids = itertools.count(1)

    def __init__(self, store, service, place, history, port=0):
        self.store, self.service, self.place, self.history = store, service, place, history
        self.id = f"i-{next(self.ids)}"
        self.started_ms = int(time.time() * 1000)
        self.server = Server("127.0.0.1", port, self.serve)
        self.state, self.fault, self.fault_share = "ready", "", 0.0
        self.has_left = False
        self.sequence, self.junk_senders = 0, 0
        self.software_version = "v1"
        self.leaving = []  # values of the fields in its responses that announce its leaving, as text
        self.retry_after = []  # values of the Retry-After fields with which it refuses all requests, as text; empty: it refuses none
        self.limits = []  # values of the limit fields in its responses, as text
        self.crashes_on = lambda request: False  # a request for which this holds crashes the upstream shortly after it begins to run
        self.restart_s = 1.0  # from a crash until the next incarnation registers
        self.expiry_s = 0.0  # from a crash until its entry is removed; 0: half of the time above
        self.keeps_id = False  # the next incarnation after a crash has the id of this one
        self.unframed_share = 0.0  # of its answers has neither a length nor chunks and ends with the connection

    @property
    def address(self):
        return f"127.0.0.1:{self.server.port}"

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": self.place, "version": self.software_version, "slots": 6, "state": self.state,
                "cold_left_ms": 0, "seq": self.sequence, "born": self.started_ms}

    async def start(self):
        await self.server.start()
        self.register()
        return self

    def register(self):
        self.sequence += 1
        self.store.put(f"servers/{self.id}", json.dumps(self.entry()).encode())

    def drain(self):
        self.state = "draining"
        self.register()
        self.history.append({"event": "draining", "upstream": self.id, "at": time.monotonic()})

    def leave(self):
        """Its entry is removed without a report. It serves on, and does not register again."""
        self.has_left = True
        self.store.delete(f"servers/{self.id}")

    def crash(self):
        self.server.stop()
        self.store.delete(f"servers/{self.id}")

    async def restart(self, software_version=None):
        """Starts a new incarnation, with a new id, at the same port."""
        self.software_version = software_version or self.software_version
        self.server.stop()
        self.store.delete(f"servers/{self.id}")
        self.id, self.started_ms, self.state, self.has_left = f"i-{next(self.ids)}", int(time.time() * 1000), "ready", False
        await asyncio.sleep(0.2)
        await self.server.start()
        self.register()

    def fall_silent(self, seconds):
        """Neither reads nor sends for this time and then goes on with everything."""
        self.server.fall_silent(seconds)
        self.history.append({"event": "silent", "upstream": self.id, "at": time.monotonic(), "seconds": seconds})

    def crash_under(self, request):
        if self.server.is_listening:  # otherwise it has already crashed under another request
            self.record("crashed", request)
            self.crash_and_restart()

    async def end_process(self, request):
        """Ends the process as the kernel does: what was written is still sent."""
        self.record("ended", request)
        self.server.end()
        await asyncio.sleep(0)

    def crash_and_restart(self):
        """Ends the process; its entry expires some time later and another incarnation starts at the same port."""
        if not self.server.is_listening:
            return
        self.server.stop()
        expiry = asyncio.get_running_loop().call_later(self.expiry_s or self.restart_s / 2, self.store.delete, f"servers/{self.id}")
        asyncio.get_running_loop().create_task(self.start_again(expiry))

    async def start_again(self, expiry):
        await asyncio.sleep(self.restart_s)
        if self.server.is_listening:
            return  # it was restarted meanwhile
        if self.keeps_id:
            expiry.cancel()  # its new entry replaces the one that has not expired yet
        else:
            self.id = f"i-{next(self.ids)}"
        self.started_ms, self.state = int(time.time() * 1000), "ready"
        self.has_left = False
        self.history.append({"event": "returned", "upstream": self.id, "at": time.monotonic()})
        await self.server.start()
        self.register()

    def record(self, event, request, **fields):
        self.history.append({"event": event, "upstream": self.id, "service": self.service, "request": request.header("request-id"),
                             "target": request.target, "prompt": request.header("prefix-hash"), "tenant": request.header("tenant"),
                             "key": request.header("authorization"), "at": time.monotonic(), **fields})

    def headers(self, request):
        return [("Request-Id", request.header("request-id")), (STAMP, f"stamp-{self.id}"), ("Instance-Id", self.id), *self.notice_fields()]

    def notice_fields(self):
        return [(LIMIT, value) for value in self.limits] + [(LEAVING, value) for value in self.leaving]

    async def serve(self, request, reader, writer):
        """Handles one request, and records those of callers with the limits that the response names, and the router's own calls."""
        limits = list(self.limits)
        if request.header("request-id"):
            self.record("arrived", request, limits=limits)
        else:
            self.record("called", request)
        if self.retry_after:
            self.record("refused", request, retry_after=list(self.retry_after))
            data = response(503, [("Not-Run", "1"), *(("Retry-After", value) for value in self.retry_after)])
        else:
            data = await self.handle(request, reader, writer)
        if data:
            line, end, rest = data.partition(b"\r\n")
            fields = [(name, value) for name, value in self.notice_fields() if f"{name}:".encode() not in rest]
            data = line + end + b"".join(f"{name}: {value}\r\n".encode() for name, value in fields) + rest
        if self.limits and request.header("request-id"):
            self.record("limit_named", request, limits=list(self.limits))
        return data

    def draw_unframed(self):
        return self.unframed_share and self.store.random.random() < self.unframed_share

    def draw_fault(self, kind):
        """Returns whether this request gets the fault; the share of faulty requests is `fault_share`."""
        return self.fault == kind and self.store.random.random() < self.fault_share

    async def handle(self, request, reader, writer):
        if request.path == "/healthz":
            return response(200 if self.state == "ready" else 503, [("Instance-Id", self.id)])
        if request.header("expect-instance", self.id) != self.id:
            return response(421, [("Instance-Id", self.id)])
        if self.draw_fault("shed"):
            return response(503, [("Not-Run", "1")])
        if self.fault in JUNK:
            return await self.send_without_end(request, reader, writer, *JUNK[self.fault])
        if self.draw_fault("hang"):
            await asyncio.sleep(30)
            return None
        return await self.run(request, reader, writer)


    async def send_without_end(self, request, reader, writer, start, repeated):
        """Sends bytes that are no answer until the peer closes the connection."""
        head = "HTTP/1.1 200 OK\r\n" + "".join(f"{name}: {value}\r\n" for name, value in self.headers(request))
        self.junk_senders += 1
        try:
            writer.write(head.encode() * (start is not None) + (start or b""))
            while not reader.at_eof() and not writer.transport.is_closing():
                writer.write(repeated)
                await writer.drain()
                await asyncio.sleep(0)
        finally:
            self.junk_senders -= 1


class Service(Upstream):
    WORK_S = 0.02  # time of one run
    PADDING_BYTES = 0  # at the end of each body
    BODY_PAUSE_S = 0.0  # in the middle of each body

    async def run(self, request, reader, writer):
        self.record("run", request)
        await asyncio.sleep(self.WORK_S)
        if self.crashes_on(request):
            self.crash_under(request)
            return None
        body = json.dumps({"echo": request.header("request-id"), "body": len(request.body)}).encode() + self.PADDING_BYTES * b" "
        if self.draw_fault("lost"):
            writer.transport.abort()
            return None
        if self.draw_fault("error"):
            return response(500, self.headers(request), b"failed")
        if self.draw_fault("torn"):
            writer.write(response(200, self.headers(request), body)[:-5])
            await writer.drain()
            return None
        if self.fault == "repeated_refusal":  # the refusal of an earlier request is written once more
            writer.write(response(503, [("Not-Run", "1"), ("Request-Id", "earlier"), ("Retry-After", "1")]))
            await writer.drain()
        if self.draw_fault("half_head"):
            writer.write(b"HTTP/1.1 503 X\r\nNot-Run: 1\r\nRetry-After: 1\r\n")
            await writer.drain()
            return None
        if self.draw_fault("foreign"):
            return response(200, [("Request-Id", "someone-else"), (STAMP, "x")], b"not yours")
        answer, is_framed = response(200, self.headers(request), body), True
        is_ended = self.draw_fault("unframed_ended")
        if is_ended or self.draw_fault("unframed") or self.draw_unframed():
            answer, is_framed = answer.replace(b"Content-Length: %d\r\n" % len(body), b""), False
        is_killed = self.draw_fault("killed")
        if self.BODY_PAUSE_S or is_killed or not is_framed:
            rest = len(answer) - len(body) // 2
            writer.write(answer[:rest])
            await writer.drain()
            if is_killed:
                return self.crash_under(request)
            if is_ended:
                return await self.end_process(request)
            await asyncio.sleep(self.BODY_PAUSE_S)
            writer.write(answer[rest:])
            await writer.drain()
            return b"" if is_framed else None
        return answer + answer if self.draw_fault("surplus") else answer


class Engine(Upstream):
    KV_CAPACITY_TOKENS = 24000
    EVENTS = 12  # per stream
    LAST_BEFORE_KILL = 5  # event of a stream whose engine has the fault "killed"
    FIRST_ID = 1  # of the events
    EVENT_INTERVAL_S = 0.015
    PREFILL_TOKENS_PER_MS = 60.0
    FAULTY_EVENT = 6  # index of the event at which an order fault shows
    TRICKLE_S = 0.4  # between the bytes of an event that does not end

    def __init__(self, store, service, place, history, role, port=0):
        super().__init__(store, service, place, history, port)
        self.role, self.order_count, self.highest_fence = role, 0, 0
        self.handles, self.holds, self.used_tokens = {}, {}, 0
        # Faults of the order of events, by the number of the request's run at all engines: "torn" breaks off, "gap" leaves an event out, "back"
        # sends an earlier id in its place, "twice" repeats one, "skip" begins 2 events too late, "late" with the second one, "restart" with the first one,
        # "no_ids" has none, "retry" puts fields without data before an event, "unnumbered" an event without an id, after which "unnumbered_torn" breaks off.
        self.order_faults = {}
        self.is_full = False  # it has no room for further streams
        self.ends_at_deadline = False  # it ends its streams in the ordinary way when the time that it was given is over, or a little sooner
        self.deadline_margin_s = 0.0
        self.is_exiting = False  # it ends its streams in the ordinary way, and then itself
        self.local_ids = itertools.count(1)

    def entry(self):
        return {**super().entry(), "phase": self.role, "slots": 16, "models": [{"name": "m", "version": 1, "adapters": []}]}

    async def handle(self, request, reader, writer):
        parts = request.path.strip("/").split("/")
        if parts[0] == "report":
            return response(200, body={"phase": self.role, "busy": False, "seq": self.order_count, "waiting": 0, "running": 0, "born": self.started_ms})
        if parts[0] == "order":
            return self.order(request)
        if parts[0] == "hold-take":
            tokens = request.json()["tokens"]
            if self.is_full or self.used_tokens + sum(self.holds.values()) + tokens > self.KV_CAPACITY_TOKENS:
                return response(503)
            hold = f"h{next(self.local_ids)}"
            self.holds[hold] = tokens
            asyncio.get_running_loop().call_later(request.json()["ttl_ms"] / 1000, self.holds.pop, hold, None)
            return response(200, body={"hold": hold})
        if parts[0] == "hold-drop":
            self.holds.pop(parts[1], None)
            return response(200)
        if parts[0] == "kv-take":  # a call of another stand-in
            return response(200, body={"request": self.handles.pop(parts[1], None)})
        if parts[0] == "kv-handle":
            self.handles.pop(parts[1], None)
            return response(200)
        return await super().handle(request, reader, writer)

    def order(self, request):
        body = request.json()
        self.record("order", request, holder=body["holder"], fence=body["fence"])
        if body["fence"] < self.highest_fence:
            return response(412)
        self.highest_fence = body["fence"]
        if body.get("expected", self.order_count) != self.order_count:
            return response(409)
        if body["phase"] == self.role:
            return response(200)
        self.order_count += 1
        self.role = body["phase"]
        if not self.has_left:
            self.register()
        return response(202)

    async def run(self, request, reader, writer):
        prompt = int(request.header("token-count", "1000,100").split(",")[0])
        if request.header("stage") == "prefill":
            if self.role != "prefill":
                return response(421)
            await asyncio.sleep(prompt / self.PREFILL_TOKENS_PER_MS / 1000)
            self.record("prompt_read", request)
            handle = f"k{next(self.local_ids)}-{self.server.port}"
            self.handles[handle] = request.header("request-id")
            asyncio.get_running_loop().call_later(0.5, self.handles.pop, handle, None)
            return response(200, body={"kv_handle": handle, "tokens": prompt, "version": 1})
        if self.role != "decode" or self.draw_fault("moved"):
            return response(421)
        if self.is_full and request.header("kv-hold") not in self.holds:
            return response(503, [("Not-Run", "1")])
        source = request.header("kv-source")
        if source and not await self.import_kv(source, request):
            return response(503, [("Not-Run", "1")])
        self.holds.pop(request.header("kv-hold"), None)
        if not source:
            await asyncio.sleep(2 * prompt / self.PREFILL_TOKENS_PER_MS / 1000)
        return await self.stream(request, reader, writer, prompt)

    async def send_error(self, request, writer, framing):
        text = b"event: failed\ndata: an error of the engine\n\n"
        framed = {"length": f"Content-Length: {len(text)}\r\n\r\n".encode() + text, "close": b"\r\n" + text,
                  "chunks": b"Transfer-Encoding: chunked\r\n\r\n" + chunk(text) + chunk(b"")}[framing]
        head = "HTTP/1.1 500 X\r\nContent-Type: text/event-stream\r\n" + "".join(f"{name}: {value}\r\n" for name, value in self.headers(request))
        writer.write(head.encode() + framed)
        await writer.drain()

    async def break_off(self, request, writer):
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        writer.write((head + "".join(f"{name}: {value}\r\n" for name, value in self.headers(request)) + "\r\n").encode())
        for number in range(1, 4):
            writer.write(chunk(f"id: {number}\ndata: {request.header('request-id')} {number} {self.software_version}\n\n".encode()))
        await writer.drain()
        writer.transport.abort()

    async def break_stream(self, request, reader, writer, after, is_framed):
        """Breaks an answer off after the event with this id, and records how."""
        self.record("broke_off", request, how=self.fault, after=after, is_framed=is_framed)
        if self.fault == "break_reset":
            reset(writer)
        elif self.fault == "break_silence":
            await reader.read()  # until the peer closes the connection
        elif self.fault == EARLY_END and is_framed:
            writer.write(chunk(b""))
            await writer.drain()

    async def trickle(self, event, reader, writer):
        """Sends the begin of an event and then a byte now and then, until the peer closes the connection."""
        writer.write(chunk(event[:-2]))
        while not reader.at_eof() and not writer.transport.is_closing():
            writer.write(chunk(b"x"))
            await writer.drain()
            await asyncio.sleep(self.TRICKLE_S)

    async def import_kv(self, source, request):
        """Takes the prompt's KV cache from the prefill engine; returns whether the handle was still valid."""
        address, _, handle = source.partition("/")
        owner = await self.take_kv(address, handle)
        if owner is not None and owner != request.header("request-id"):
            self.record("foreign_handle", request, owner=owner)
        return owner is not None

    async def take_kv(self, address, handle):
        """Returns the request whose KV cache the handle names, or None if it is not valid any more."""
        engine = self.store.engines.get(address)
        return engine.handles.pop(handle, None) if engine else None

    def first_event(self, request, order_fault):
        """Returns the id of the first event of a run."""
        after = request.header("last-event-id")
        if not after or order_fault == "restart":
            return self.FIRST_ID + (order_fault == "late")
        return int(after) + 1 + 2 * (order_fault == "skip")

    def ordered(self, number, text, order_fault):
        """Returns the bytes that are sent in place of one event."""
        event = f"id: {number}\ndata: {text}\n\n".encode()
        if order_fault == "no_ids":
            return f"data: {text}\n\n".encode()
        if number != self.FIRST_ID + self.FAULTY_EVENT:
            return event
        if order_fault == "retry":
            return b"retry: 3000\n\nweight-versions: 1\n\n" + event
        if order_fault.startswith("unnumbered"):
            return b"event: ping\ndata\n\n" + event
        earlier = f"id: {number - 3}\ndata: {text}\n\n".encode()
        return {"gap": b"", "back": earlier, "twice": event + event}.get(order_fault, event)

    def order_fault(self, request):
        """Returns the fault of this run of the request, by the runs that the history holds."""
        if not self.order_faults:
            return ""  # the history of a process of its own cannot be read
        return self.order_faults.get(1 + sum(entry["event"] == "run" and entry["request"] == request.header("request-id") for entry in self.history), "")

    async def stream(self, request, reader, writer, prompt):
        version = self.software_version  # the events show which version wrote them
        order_fault = self.order_fault(request)
        self.record("run", request, after=int(request.header("last-event-id", "0")), version=version)
        # Faults "resume_error_..." answer a stream that goes on with an error whose body has a length or chunks, or ends with the connection.
        if self.fault.startswith("resume_error"):
            if request.header("last-event-id"):
                return await self.send_error(request, writer, self.fault.removeprefix("resume_error_"))
            return await self.break_off(request, writer)
        self.used_tokens += prompt
        # Faults "unframed..." send neither a length nor chunks; the answer ends with its connection.
        is_framed = not (self.fault.startswith("unframed") or self.draw_unframed())
        frame = chunk if is_framed else bytes
        last, interval_s = int(request.query.get("events", self.EVENTS)), float(request.query.get("interval_s", self.EVENT_INTERVAL_S))
        try:
            head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + "Transfer-Encoding: chunked\r\n" * is_framed
            writer.write((head + "".join(f"{name}: {value}\r\n" for name, value in self.headers(request)) + "\r\n").encode())
            if self.crashes_on(request):
                await writer.drain()
                await asyncio.sleep(self.EVENT_INTERVAL_S)
                self.crash_under(request)
                return None
            if self.draw_fault("comments"):
                writer.write(chunk(b": hello\n\n"))
            time_s = int(request.header("deadline-ms")) / 1000 - self.deadline_margin_s
            ends_at = request.arrived_at + time_s if self.ends_at_deadline else math.inf
            for number in range(self.first_event(request, order_fault), last + self.FIRST_ID):
                await asyncio.sleep(max(0, min(interval_s, ends_at - time.monotonic())))
                await self.server.wait_while_silent()
                if time.monotonic() >= ends_at or self.is_exiting:
                    break
                if number == 6 and self.draw_fault("unframed_ended"):
                    await self.end_process(request)
                    return None
                if self.fault.startswith("break_") and self.draw_fault(self.fault):
                    return await self.break_stream(request, reader, writer, number - 1, is_framed)
                event = self.ordered(number, f"{request.header('request-id')} {number} {version}", order_fault)
                if not event:
                    continue
                if order_fault in ("torn", "unnumbered_torn") and number == self.FIRST_ID + self.FAULTY_EVENT:
                    writer.write(chunk(event[:-9]))
                    await writer.drain()
                    writer.transport.abort()
                    return None
                if self.draw_fault("unframed_empty") or (number == 6 and self.draw_fault("unframed_torn")):
                    writer.write(event[: len(event) // 2] if self.fault == "unframed_torn" else b"")
                    await writer.drain()
                    return None
                is_begun = number > self.FIRST_ID and not request.header("last-event-id")
                if number == self.LAST_BEFORE_KILL + 1 and is_begun and self.draw_fault("killed"):
                    return self.crash_under(request)
                if self.draw_fault("torn") or (is_begun and self.draw_fault("torn_after_first")):
                    writer.write(frame(event[: len(event) // 2]))
                    await writer.drain()
                    writer.transport.abort()
                    return None
                if number > 2 and self.fault == "trickle":
                    return await self.trickle(event, reader, writer)
                if self.draw_fault("stall"):
                    await asyncio.sleep(30)
                writer.write(frame(event))
                await writer.drain()
                if reader.at_eof():
                    self.record("stopped", request, after=number)
                    return None
            writer.write(frame(b""))
            await writer.drain()
            return b"" if is_framed else None
        finally:
            self.used_tokens -= prompt
