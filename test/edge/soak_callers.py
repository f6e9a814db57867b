"""Callers of the soak that keep their connections, and the requests that ended without an answer although nothing excuses it."""

import asyncio
import contextlib
import re
import time
import typing

from loss_tests import LOSS_SLACK_S, MEASURING_S, exchange
from version_tests import Stream

from platform_upstreams import Engine  # noqa: E402

DEADLINE_S = 4.0
DEADLINE_MARGIN_S = 0.3  # by which a VM ends a stream before its deadline
CALLER_LIMIT_S = 9.0
MAX_ATTEMPTS = 4  # of one returning caller
LONG_SHARE, LONG_EVENTS, LONG_S = 0.3, (70, 150), (1.0, 8.0)  # of the streams of processes; their times are added to the limits above
SHORT_S = 2.5  # the longest stream while only planned changes are made; longer ones would often outlast a drain or the grace period
AFTERMATH_S = 1.5  # after an impairment, in which requests that it has disturbed may still end
SOFTWARE_VERSIONS = ("v1", "v2")
PAUSE_S = 0.08  # mean time between two requests on a connection
READY_LIMIT_S, READY_POLL_S = 5.0, 0.01  # from the start of a VM until its callers give it up; between two checks
STREAMS_AT_START, GAP_AT_START_S = 12, 0.01  # of a VM; between two of them
READ_AT_START = (1, 6)  # events at each VM, so that callers return 50 to 300 ms after the begin, and up to 900 ms after it
SMALL_BODY, LARGE_BODY = b"b" * 50, b"b" * 20000


class StreamShape(typing.NamedTuple):
    events: int = Engine.EVENTS
    seconds: float = 0.0  # in which a sound engine sends them; 0: at its own interval
    path: str = "x"  # tells the engine both


SHAPE_AT_START = StreamShape(40, 2.0, "x?events=40&interval_s=0.05")


def draw_shape(soak, kind, request):
    soak.shapes[request] = StreamShape()
    if soak.processes and kind in ("stream", "digest") and soak.shape_draw.random() < LONG_SHARE:
        events, seconds = soak.shape_draw.randint(*LONG_EVENTS), soak.shape_draw.uniform(LONG_S[0], SHORT_S if soak.planned_only else LONG_S[1])
        soak.shapes[request] = StreamShape(events, seconds, f"x?events={events}&interval_s={seconds / events:.4f}")
    return soak.shapes[request]


def reaches_deadline(kind, shape, begin, end):
    """Returns whether a stream ended because its caller's time was over."""
    return kind in ("stream", "digest") and end - begin > DEADLINE_S + shape.seconds - DEADLINE_MARGIN_S


def is_whole(kind, request, body, events=Engine.EVENTS):
    """Returns whether a body is all that an upstream answers: each event of one stream and one software version, or a whole plain body."""
    if kind in ("stream", "digest"):
        version = body[:body.find(b"\n\n")].decode(errors="replace").rpartition(" ")[2]  # of the first event
        return body == "".join(f"id: {number}\ndata: {request} {number} {version}\n\n" for number in range(1, events + 1)).encode()
    return re.fullmatch(rb'{"echo": "%s", "body": \d+}' % request.encode(), body) is not None


def is_ambiguous(soak, kind, request, body):
    """Returns whether a living engine closed an answer without length or chunks after this part, on a route that may not be resumed."""
    return kind == "digest" and any(entry["event"] == "broke_off" and entry["request"] == request and entry["how"] == "break_close"
                                    and not entry["is_framed"] and is_whole(kind, request, body, entry["after"]) for entry in soak.fleet.history)


class Impairments:
    """Times in which VMs or upstreams were impaired, so that requests at them may end without an answer."""

    def __init__(self):
        self.times = []  # names, begin, end

    @contextlib.contextmanager
    def of(self, *names):
        entry = [set(names), time.monotonic(), float("inf")]
        self.times.append(entry)
        try:
            yield
        finally:
            entry[2] = time.monotonic() + AFTERMATH_S

    def excuse(self, names, begin, end):
        return any(names & impaired and begin < until and end > since for impaired, since, until in self.times)


async def call_and_return(soak, vm, shape=None, read_events=None, next_vm=None):
    """A caller that closes its connection after some events, or loses it, and continues the stream at any VM, or at any other if `read_events` is set:
    the least and the most events that it reads at a VM. With `next_vm`, it continues when and where that says."""
    stream = Stream(soak)
    shape = shape or draw_shape(soak, "stream", stream.id)
    stream.EVENTS, stream.PATH, stream.DEADLINE_MS = shape.events, shape.path, int(Stream.DEADLINE_MS + 1000 * shape.seconds)
    limit_s = CALLER_LIMIT_S + shape.seconds
    soak.returning.append(stream)
    for attempt in range(MAX_ATTEMPTS):
        try:
            if attempt and not stream.numbers:
                stream.id = soak.request_id()  # the caller has nothing to continue
            status = await asyncio.wait_for(stream.come_back(vm) if stream.numbers else stream.open(vm), limit_s)
            if status == 200:
                least, most = (len(stream.numbers) + count for count in read_events) if read_events else (1, stream.EVENTS - 2)
                count = soak.random.randint(least, most) if attempt < MAX_ATTEMPTS - 1 else stream.EVENTS
                await asyncio.wait_for(stream.read(max(count, len(stream.numbers))), limit_s)
            elif stream.numbers and soak.are_in_touch() and "software version" in await asyncio.wait_for(stream.read_body(), limit_s):
                soak.version_refusals.append(f"{stream.id} of {stream.first_attempt} at {vm.name}")
        except (EOFError, OSError, asyncio.TimeoutError):
            pass  # the caller comes back
        if len(stream.numbers) == stream.EVENTS or stream.is_complete:
            return
        ready = [each for each in soak.vms if each.process.returncode is None and not getattr(each, "draining", 0) and not (read_events and each is vm)]
        vm = await next_vm() if next_vm else soak.random.choice(ready or soak.vms)


async def call_after_start(soak, vm):
    """Begins streams at a VM as soon as it is ready, whose callers return to other VMs while these may not know what it has found at its start."""
    end, callers = time.monotonic() + READY_LIMIT_S, []
    while time.monotonic() < end and not await vm.is_ready():
        await asyncio.sleep(READY_POLL_S)
    for _ in range(STREAMS_AT_START):
        callers.append(asyncio.create_task(call_and_return(soak, vm, SHAPE_AT_START, READ_AT_START)))
        await asyncio.sleep(GAP_AT_START_S)
    await asyncio.gather(*callers)


async def call_on_kept_connections(soak, kinds):
    """Sends requests on one connection after another, each of which is used until the VM closes it or its process is gone."""
    while not soak.stopping:
        vm = soak.random.choice(soak.vms)
        try:
            connection = await asyncio.open_connection(vm.ip, vm.port)
        except OSError:
            await asyncio.sleep(PAUSE_S)
            continue
        keeps = True
        while keeps and not soak.stopping:
            kind, begin = soak.random.choice(kinds), time.monotonic()
            body = soak.random.choice((SMALL_BODY, SMALL_BODY, LARGE_BODY)) if kind != "check" else b""
            request = soak.request_id()
            shape = draw_shape(soak, kind, request)
            sent = await exchange(soak, connection, kind, limit_s=CALLER_LIMIT_S + shape.seconds, deadline=int(1000 * (DEADLINE_S + shape.seconds)),
                                  body=body, path=shape.path, request=request)
            soak.vm_of[sent.request] = vm.name
            if sent.status is None:
                soak.cut.append((sent.request, kind, vm.name, begin, sent.ended_at or time.monotonic(), sent.error))
            else:
                soak.responses.append((sent.request, kind, sent.status, sent.headers, sent.body, begin))
            keeps = sent.keeps_connection
            await asyncio.sleep(soak.random.expovariate(1 / PAUSE_S))
        connection[1].close()


def outlasts_process(soak, request, vm, begin, end):
    """Returns whether a long stream was still under way when its drained engine ended, or in the last sixth of its VM's grace period."""
    upstreams = {entry["upstream"] for entry in soak.fleet.history if entry["event"] == "arrived" and entry["request"] == request}
    return soak.shapes[request].seconds > 0 and soak.ends.excuse({vm, *upstreams}, begin, end)


def unexcused(soak):
    """Returns a line for each request without an answer that was passed on, or whose connection stayed open after it, at sound processes."""
    upstreams = {}
    for entry in soak.fleet.history:
        if entry["event"] == "arrived":
            upstreams.setdefault(entry["request"], set()).add(entry["upstream"])
    for request, kind, vm, begin, end, error in soak.cut:
        took, shape = end - begin, soak.shapes[request]
        is_excused = soak.impairments.excuse({vm, *upstreams.get(request, ())}, begin, end) or outlasts_process(soak, request, vm, begin, end)
        is_read = request in upstreams or took > LOSS_SLACK_S + MEASURING_S
        if is_read and not reaches_deadline(kind, shape, begin, end) and not is_excused:
            yield f"{request} ({kind}) at {vm} got no answer after {took:.2f} s, passed on to {sorted(upstreams.get(request, ()))}: {error}"
