"""Callers of the soak that keep their connections, and the requests that ended without an answer although nothing excuses it."""

import asyncio
import contextlib
import re
import time

from loss_tests import LOSS_SLACK_S, MEASURING_S, exchange

DEADLINE_S = 4.0
DEADLINE_MARGIN_S = 0.3  # by which a VM ends a stream before its deadline
CALLER_LIMIT_S = 9.0
AFTERMATH_S = 1.5  # after an impairment, in which requests that it has disturbed may still end
SOFTWARE_VERSIONS = ("v1", "v2")
PAUSE_S = 0.08  # mean time between two requests on a connection
SMALL_BODY, LARGE_BODY = b"b" * 50, b"b" * 20000


def reaches_deadline(kind, begin, end):
    """Returns whether a stream ended because its caller's time was over."""
    return kind in ("stream", "digest") and end - begin > DEADLINE_S - DEADLINE_MARGIN_S


def is_whole(kind, request, body):
    """Returns whether a body is all that an upstream answers: each event of one stream and one software version, or a whole plain body."""
    if kind in ("stream", "digest"):
        return body in ["".join(f"id: {number}\ndata: {request} {number} {version}\n\n" for number in range(1, 13)).encode()
                        for version in SOFTWARE_VERSIONS]
    return re.fullmatch(rb'{"echo": "%s", "body": \d+}' % request.encode(), body) is not None


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
            sent = await exchange(soak, connection, kind, limit_s=CALLER_LIMIT_S, deadline=int(1000 * DEADLINE_S), body=body)
            soak.vm_of[sent.request] = vm.name
            if sent.status is None:
                soak.cut.append((sent.request, kind, vm.name, begin, sent.ended_at or time.monotonic(), sent.error))
            else:
                soak.responses.append((sent.request, kind, sent.status, sent.headers, sent.body, begin))
            keeps = sent.keeps_connection
            await asyncio.sleep(soak.random.expovariate(1 / PAUSE_S))
        connection[1].close()


def unexcused(soak):
    """Returns a line for each request without an answer that was passed on, or whose connection stayed open after it, at sound processes."""
    upstreams = {}
    for entry in soak.fleet.history:
        if entry["event"] == "arrived":
            upstreams.setdefault(entry["request"], set()).add(entry["upstream"])
    for request, kind, vm, begin, end, error in soak.cut:
        took = end - begin
        is_read = request in upstreams or took > LOSS_SLACK_S + MEASURING_S
        if is_read and not reaches_deadline(kind, begin, end) and not soak.impairments.excuse({vm, *upstreams.get(request, ())}, begin, end):
            yield f"{request} ({kind}) at {vm} got no answer after {took:.2f} s, passed on to {sorted(upstreams.get(request, ()))}: {error}"
