#!/usr/bin/env python3
"""Randomized fault soak of currant-edge: real processes, stand-ins and relays on loopback. The guarantees to callers and upstreams are
checked against the responses that callers received and the runs that upstreams recorded.

Usage: soak.py [--seed N] [--seconds S] [--count N] [--vms N] [--clients N] [--faults NAME ...] [--releases]
               [--processes] [--engines N] [--services N]

Makes `count` runs with consecutive seeds. The last line is "N passed, N failed"; the log folder of a failed run is kept and printed.
`clients` is the number of callers with new connections for each VM; half as many keep theirs until the process is gone.
With --releases each start of a VM draws its build, the current or the released one.
With --processes engines and services are processes of their own, which are also killed, also behind a listener that stays, and suspended, and
engines break streams off. A share of the streams lasts seconds, a share of the answers ends with the connection, and a third of the requests on
new connections use HTTP/1.0. A run with the fault "join" begins with one software version, and others join while VMs start. In a share of the
joins their engines crash while a VM is cut off, and the other VMs restart.
For example, a large run: --processes --vms 12 --engines 24 --services 6 --clients 2 --seconds 60.
"""

import argparse
import asyncio
import collections
import os
import random
import shutil
import signal
import sys
import time

from limit_tests import CONTACT_S, excess
from long_document_tests import MANY_ROUTES, many_routes
from memory_tests import metrics
from restore_tests import restore
from rig import PROGRAM, RELEASED, Rig
from soak_callers import (CALLER_LIMIT_S, DEADLINE_S, SOFTWARE_VERSIONS, Impairments, call_and_return, call_on_kept_connections, draw_shape,
                          is_ambiguous, is_whole, outlasts_process, reaches_deadline, unexcused)
from soak_joins import join_while_vm_starts

from engine_process import SUCCESSORS  # noqa: E402
from links import MODES  # noqa: E402
from peer_links import PeerLinks  # noqa: E402
from platform_upstreams import BREAKS, EARLY_END  # noqa: E402

DRAIN_LIMIT_S = 2.5  # a draining upstream gets no new requests after this time
RECOVERY_LIMIT_S = 12.0  # from the last fault until all VMs serve every kind of request
FAULTS = ("kill", "freeze", "store", "relay", "restart_engine", "crash", "engines", "services", "compact", "limit", "return", "stranded",
          "silent", "series", "narrow")
PROCESS_FAULTS = ("kill_engine", "stop_engine", "kill_behind_listener", "break_off")  # of engines and services that are processes of their own
PARTITION = "partition"  # of one VM from the others and the store, while a software version appears; only by name
JOIN = "join"  # of engines of a new software version while a VM starts; only by name
OTHER_FAULTS = (EARLY_END, PARTITION, JOIN)  # the first is of processes too, only by name
UPSTREAM_FAULTS = ("torn", "stall", "shed", "hang", "lost", "half_head", "error", "foreign", "surplus")
BREAK_SHARE = (0.005, 0.05)  # of the events of a stream at an engine that breaks streams off
KINDS = ("book", "check", "stream", "digest")
AT_MOST_ONCE = ("book", "digest")
POISON_SHARE = 0.01  # of the requests
SILENCE_S = (0.8, 2.0)  # of sound upstreams
SUSPENSION_S = (0.5, 2.0)  # of processes
HEARTBEAT_S = 1.0  # an entry is removed up to three heartbeats after the last one
RESTART_S = (0.2, 3.0)  # from the kill of a process until its next incarnation starts
UNFRAMED_SHARE, PROCESS_PAUSE_S = 0.5, 0.04  # of the answers of processes; between their events, and in the middle of a plain answer
SERIES_ROUNDS = 3
START_S = 0.2  # of a process, until it handles signals
RETURN_SHARE = 0.3  # of the streams whose callers close the connection and come back
LONG_DOCUMENT_BYTES, DOCUMENT_S = 370_000, (0.5, 3.0)  # of a configuration with many routes; in which a narrow link passes it
DELIVERY_S = 0.5  # from the end of a cut until what was sent before has arrived
GRACE_S, STREAM_TIMEOUT_MS = 6, 13_000
# Of the seeds in which callers need a key; their quota holds more than they ask for, so that none may be refused for it.
TENANT = {"name": "tenant", "api_keys": ["key-of-the-callers"], "rate_per_s": 2000, "burst": 2000}


class Soak(Rig):
    """A rig in which each VM reaches the store through its own relay."""

    def __init__(self, seed, vms, faults=FAULTS, programs=(PROGRAM,), engines=5, services=3, processes=False, tenants=False):
        prefill = max(1, 2 * engines // 5)
        super().__init__(vms=vms, seed=seed, grace=GRACE_S, prefill=prefill, decode=engines - prefill, services=services, processes=processes)
        self.seed, self.random, self.faults = seed, random.Random(seed), faults
        self.programs, self.program_draw = programs, random.Random(seed)  # the faults of a seed do not depend on the builds
        # Every third run makes only planned changes beside silent upstreams, during which no request may be interrupted.
        self.planned_only = seed % 3 == 0
        self.relay_of, self.responses, self.interrupted, self.drains = {}, [], [], {}
        self.cut, self.impairments = [], Impairments()  # all requests without an answer
        self.ends = Impairments()  # planned ends of processes, which long streams may outlast
        self.fleet.stream_timeout_ms = STREAM_TIMEOUT_MS if processes else self.fleet.stream_timeout_ms
        self.shape_draw, self.shapes, self.ambiguous = random.Random(seed), {}, []  # the shapes of streams by request id
        if tenants:
            self.fleet.tenants = [TENANT]
            self.caller_headers = {"Authorization": f"Bearer {TENANT['api_keys'][0]}"}
        self.starting, self.joining = asyncio.Lock(), asyncio.Lock()
        self.join_draw = random.Random(seed)  # so that the kinds of the joins of a seed do not depend on the callers
        self.joins = collections.Counter()  # joins of a new software version, those whose engines crash, and what restarts beside these
        self.store_faults, self.stopping = False, False
        self.partition = None  # links of the last VM to the others, if they may be cut; they pass datagrams, no forwarded requests
        self.delayed = []  # times in which requests that were sent earlier may arrive at an upstream: its id, begin, end
        self.poison = set()  # ids of the requests that crash the services that run them
        self.http_draw, self.http_versions = random.Random(seed), {}  # of the callers with new connections, by request id
        self.returning, self.version_refusals = [], []  # streams that callers continue; refusals because of their software version

    async def __aenter__(self):
        await super().__aenter__()
        for service in self.fleet.services:
            service.crashes_on = lambda request: request.path.endswith("/poison")
        if self.seed % 2 and JOIN not in self.faults:  # a VM that knows several versions relies on no guess, which hides the fault
            for number, engine in enumerate(self.fleet.engines):
                engine.software_version = SOFTWARE_VERSIONS[number % 2]
                engine.register()
        if self.processes:
            for upstream in self.fleet.upstreams:
                upstream.unframed_share, upstream.EVENT_INTERVAL_S, upstream.BODY_PAUSE_S = UNFRAMED_SHARE, PROCESS_PAUSE_S, PROCESS_PAUSE_S
        if {PARTITION, JOIN} & set(self.faults):
            self.partition = PeerLinks(self, self.vms[-1:])
            await asyncio.gather(*(self.kill(vm) for vm in self.vms))  # so that none knows an address that is no link
        await self.relay_upstreams(self.vms, self.partition)
        self.relay_of = dict(zip((vm.name for vm in self.vms), await self.relay_store(self.vms)))
        if self.partition:
            self.partition.store_relays.append(self.relay_of[self.vms[-1].name])
        return self

    def program_of(self, vm):
        return self.program_draw.choice(self.programs)

    # Callers

    async def caller(self):
        while not self.stopping:
            await asyncio.sleep(self.random.expovariate(12))
            ready = [vm for vm in self.vms if vm.process.returncode is None and not getattr(vm, "draining", 0)]
            if not ready:
                continue
            kind, vm, request = self.random.choice(KINDS), self.random.choice(ready), self.request_id()
            if kind == "stream" and self.random.random() < RETURN_SHARE:
                await call_and_return(self, vm)
                continue
            begin, path = time.monotonic(), ""
            if not self.planned_only and self.random.random() < POISON_SHARE:
                kind, path = "check", "poison"
                self.poison.add(request)
            shape = draw_shape(self, kind, request)
            version, closing = self.http_draw.choice((("1.0", {}), ("1.1", {}), ("1.1", {"Connection": "close"}))) if self.processes else ("1.1", {})
            self.http_versions[request] = version
            try:
                _, status, headers, body = await self.send(kind, vm, request, deadline=int(1000 * (DEADLINE_S + shape.seconds)), headers=closing,
                                                           limit=CALLER_LIMIT_S + shape.seconds, path=path or shape.path, version=version)
                self.responses.append((request, kind, status, headers, body, begin))
            except (EOFError, OSError, asyncio.TimeoutError) as error:
                self.cut.append((request, kind, vm.name, begin, time.monotonic(), repr(error)))
                if not reaches_deadline(kind, shape, begin, time.monotonic()):
                    self.interrupted.append(self.cut[-1])

    def are_in_touch(self):
        """Returns whether all VMs run long enough to know one another."""
        return all(vm.process.returncode is None and time.monotonic() - vm.started_at > CONTACT_S for vm in self.vms)

    # Faults

    async def make_planned_change(self):
        action = self.random.choice(("term", "hup", "drain", "configure", "release"))
        if action == "term":
            await self.restart_vm(self.random.choice(self.vms))
        elif action == "hup":
            self.random.choice(self.vms).signal(signal.SIGHUP)
        elif action == "drain":
            await self.replace_service(self.random.choice(self.fleet.services))
        elif action == "release":
            await self.replace_engine()
        else:
            self.fleet.configure()

    async def replace_engine(self):
        """Replaces a decode engine by one of any software version; each version that has engines keeps one."""
        decode = [engine for engine in self.fleet.engines if engine.role == "decode" and engine.state == "ready"]
        versions = [engine.software_version for engine in decode]
        replaceable = [engine for engine in decode if versions.count(engine.software_version) > 1]
        if replaceable:
            await self.replace(self.random.choice(replaceable), self.random.choice(SOFTWARE_VERSIONS))

    async def restart_vm(self, vm):
        if sum(getattr(each, "draining", 0) for each in self.vms) >= max(1, len(self.vms) // 4):
            return
        vm.draining = True  # callers with new connections send it no new requests
        vm.signal(signal.SIGTERM)
        self.ends.times.append([{vm.name}, time.monotonic() + 5 / 6 * GRACE_S, time.monotonic() + GRACE_S])
        await asyncio.wait_for(vm.process.wait(), 10)
        await self.start_vm(vm)
        await vm.wait_until_ready()
        vm.draining = False

    async def start_vm(self, vm):
        async with self.starting:
            if vm.process.returncode is not None:
                await vm.start()

    async def kill_and_start(self, vm):
        with self.impairments.of(vm.name):
            await self.kill(vm)
            await self.start_vm(vm)

    async def make_series(self, rounds):
        """Lets upstreams fall silent one time after the other, while the configuration changes and VMs reload and restart."""
        restarts = []
        for _ in range(rounds):
            for upstream in self.choose_upstreams():
                if self.processes:
                    restarts.append(asyncio.create_task(upstream.suspend(self.random.uniform(*SUSPENSION_S))))
                else:
                    upstream.fall_silent(self.random.uniform(*SILENCE_S))
            if self.processes and not self.planned_only:
                self.kill_upstreams(1)
            self.fleet.configure()
            started = [vm for vm in self.vms if time.monotonic() - vm.started_at > START_S]
            self.random.choice(started or self.vms).signal(signal.SIGHUP)
            if self.random.random() < 0.5:
                restarts.append(asyncio.create_task(self.restart_vm(self.random.choice(self.vms))))
            await asyncio.sleep(self.random.uniform(0.5, 2))
        await asyncio.gather(*restarts)

    def kill_upstreams(self, count, successors=("",)):
        for upstream in self.random.sample(self.fleet.upstreams, count):
            upstream.keeps_id = self.random.random() < 0.5
            upstream.expiry_s, upstream.restart_s = self.random.uniform(0.1, 3 * HEARTBEAT_S), self.random.uniform(*RESTART_S)
            if upstream.server.is_listening:
                upstream.server.successor = self.random.choice(successors)
            with self.impairments.of(upstream.id):
                upstream.crash_and_restart()

    async def replace_service(self, service):
        self.drains[service.id] = (time.monotonic(), self.store_faults)
        await self.replace(service)

    async def replace(self, upstream, software_version=None):
        """Drains an upstream and restarts it, unless it has crashed meanwhile and its next incarnation takes requests."""
        upstream.drain()
        await asyncio.sleep(DRAIN_LIMIT_S + 1.5)
        if upstream.state == "draining":
            with self.ends.of(upstream.id):
                await upstream.restart(software_version)

    async def inject_fault(self):
        fault = self.random.choice(self.faults)
        vm, duration_s = self.random.choice(self.vms), self.random.uniform(0.5, 3)
        if fault == "kill":
            await self.kill_and_start(vm)
        elif fault == "freeze":
            await self.suspend(vm, duration_s)
        elif fault == "store":
            await self.inject_store_fault(duration_s)
        elif fault == "relay":
            await self.inject_relay_fault(self.relay_of[vm.name], duration_s)
        elif fault == "restart_engine":
            engine = self.random.choice(self.fleet.engines)
            with self.impairments.of(engine.id):
                await engine.restart(self.random.choice(SOFTWARE_VERSIONS))
        elif fault == "crash":
            upstream = self.random.choice(self.fleet.upstreams)
            with self.impairments.of(upstream.id):
                upstream.crash_and_restart()
        elif fault in ("kill_engine", "kill_behind_listener"):
            self.kill_upstreams(self.random.randint(1, max(1, len(self.fleet.upstreams) // 4)), SUCCESSORS if fault != "kill_engine" else ("",))
        elif fault in ("break_off", EARLY_END):
            await self.inject_upstream_faults(self.fleet.engines, duration_s, BREAKS if fault == "break_off" else (EARLY_END,), BREAK_SHARE)
        elif fault == "stop_engine":
            await self.random.choice(self.fleet.upstreams).suspend(self.random.uniform(*SUSPENSION_S))
        elif fault == "compact":
            self.fleet.store.compact()
        elif fault == "limit":
            await self.name_limit(2 * duration_s)
        elif fault == "return":
            await self.return_store_from_copy(duration_s)
        elif fault == "stranded":
            await self.strand_vms()
        elif fault == "silent":
            for upstream in self.choose_upstreams():
                upstream.fall_silent(self.random.uniform(*SILENCE_S))
        elif fault == "series":
            await self.make_series(SERIES_ROUNDS)
        elif fault == PARTITION:
            await self.partition_vm(duration_s)
        elif fault == JOIN and not self.joining.locked():
            async with self.joining:
                await join_while_vm_starts(self, self.join_draw.choice(self.vms), duration_s)
        elif fault == JOIN:
            return  # the next VM would be killed before the started one is in touch
        elif fault == "narrow":
            await self.send_documents_over_narrow_link(self.relay_of[vm.name], duration_s)
        else:
            await self.inject_upstream_faults(self.fleet.services if fault == "services" else self.fleet.engines, duration_s)

    async def partition_vm(self, duration_s):
        engine, self.store_faults = self.random.choice(self.fleet.engines), True
        with self.impairments.of(self.vms[-1].name), self.impairments.of(engine.id):
            self.partition.cut()
            await engine.restart(f"v{engine.started_ms}")
            await asyncio.sleep(duration_s)
            self.partition.cut(peers=False, store=False)

    async def suspend(self, vm, duration_s, after_s=0.0):
        await asyncio.sleep(after_s)
        with self.impairments.of(vm.name):
            vm.signal(signal.SIGSTOP)
            await asyncio.sleep(duration_s)
            vm.signal(signal.SIGCONT)

    def choose_upstreams(self):
        fleet = self.fleet
        return self.random.choice((fleet.upstreams, fleet.engines, fleet.services, self.random.sample(fleet.upstreams, len(fleet.upstreams) // 2)))

    async def strand_vms(self):
        """Cuts some or all VMs off from some or all upstreams and heals them."""
        vms = self.random.sample(self.vms, self.random.randint(1, len(self.vms)))
        mode, upstreams, begin = self.random.choice(list(MODES)), self.choose_upstreams(), time.monotonic()
        with self.impairments.of(*(vm.name for vm in vms)):
            for vm in vms:
                self.links.cut(vm, mode, upstreams)
            await asyncio.sleep(self.random.uniform(1, 4))
            for vm in vms:
                self.links.heal(vm)
        if mode == "hang":
            self.delayed += [(upstream.id, begin, time.monotonic() + DELIVERY_S) for upstream in upstreams]

    async def inject_store_fault(self, duration_s):
        self.store_faults, store = True, self.fleet.store
        store.mode, store.lost_reply_share, store.delay_s = self.random.choice(
            (("silent", 0, 0.002), ("busy", 0, 0.002), ("reset", 0, 0.002), ("up", 0.5, 0.002), ("up", 0, 0.3)))
        await asyncio.sleep(duration_s)
        store.mode, store.lost_reply_share, store.delay_s = "up", 0, 0.002

    async def name_limit(self, duration_s):
        upstream = self.random.choice(self.fleet.upstreams)
        upstream.limits = [f"{self.random.uniform(0.5, 8):.2f}"]
        await asyncio.sleep(CONTACT_S + duration_s)
        upstream.limits = []

    async def return_store_from_copy(self, duration_s):
        """Lets the store return from a copy; the operator and the live upstreams write again what was lost."""
        self.store_faults, store = True, self.fleet.store
        state = store.copy()
        await asyncio.sleep(duration_s)
        await restore(self, state)
        await asyncio.sleep(duration_s / 3)
        self.fleet.version -= 3
        self.fleet.configure()
        for upstream in self.fleet.upstreams:
            if upstream.server.is_listening:
                upstream.register()
        live = {upstream.id for upstream in self.fleet.upstreams}
        for key in [key for key in store.items if key.startswith("servers/") and key.removeprefix("servers/") not in live]:
            store.delete(key)  # the entries of upstreams that have ended expire

    async def inject_relay_fault(self, relay, duration_s):
        self.store_faults = True
        fault = self.random.choice(("cut", "cut_answers", "delay", "reset", "silence"))
        if fault in ("reset", "silence"):
            getattr(relay, fault)()
            return
        setattr(relay, fault, 0.3 if fault == "delay" else True)
        await asyncio.sleep(duration_s)
        setattr(relay, fault, 0.0 if fault == "delay" else False)

    async def send_documents_over_narrow_link(self, relay, duration_s):
        self.store_faults = True
        relay.bytes_per_s = LONG_DOCUMENT_BYTES / self.random.uniform(*DOCUMENT_S)
        for _ in range(self.random.randint(1, 4)):
            self.fleet.configure(many_routes(MANY_ROUTES))
            await asyncio.sleep(self.random.uniform(0.1, 1))
        await asyncio.sleep(duration_s)
        relay.bytes_per_s = 0

    async def inject_upstream_faults(self, upstreams, duration_s, faults=UPSTREAM_FAULTS, share=(0.1, 0.6)):
        fault = self.random.choice(faults)
        chosen = self.random.sample(upstreams, 1 + len(upstreams) // 3)
        with self.impairments.of(*(upstream.id for upstream in chosen)):
            for upstream in chosen:
                upstream.fault, upstream.fault_share = fault, self.random.uniform(*share)
            await asyncio.sleep(duration_s)
            for upstream in chosen:
                upstream.fault = ""

    async def run_changes_and_faults(self, seconds):
        end, tasks = time.monotonic() + seconds, []
        if self.planned_only:
            tasks.append(asyncio.create_task(self.make_series(max(1, int(seconds / 2)))))
        while time.monotonic() < end:
            await asyncio.sleep(self.random.uniform(0.2, 1.5))
            planned = self.planned_only or self.random.random() < 0.4
            if planned:
                await self.make_planned_change()  # these overlap the series of silences, not one another
            else:
                tasks.append(asyncio.create_task(self.inject_fault()))  # faults do
        await asyncio.gather(*tasks)

    # Guarantees

    def check(self):
        """Returns the violations that were found, one line each."""
        return [*self.check_runs(), *self.check_responses(), *self.check_returns(), *self.check_quarantine(), *self.check_drains(), *self.check_planned_changes(),
                *self.check_answers(), *self.check_tenants(), *excess(self)]

    def check_runs(self):
        kinds = {request: kind for request, kind, *_ in [*self.responses, *self.cut]}
        runs = {}
        for entry in self.fleet.history:
            if entry["event"] == "run":
                runs.setdefault(entry["request"], []).append(entry)
            if entry["event"] == "foreign_handle":
                yield f"{entry['request']} imported the KV cache of {entry['owner']}"
        for request, entries in runs.items():
            if kinds.get(request) in AT_MOST_ONCE and len(entries) > 1:
                yield f"{request} ({kinds[request]}) ran {len(entries)} times"
        for request, kind, status, *_ in self.responses:
            if status in (503, 429, 408, 421) and request in runs:
                yield f"{request} ({kind}) was refused with {status}, but ran"

    def check_responses(self):
        for request, kind, status, headers, body, _ in self.responses:
            if status != 200:
                if headers.get("server-stamp") and status not in (500, 503):
                    yield f"{request}: status {status} carries an upstream's Server-Stamp"
                continue
            if headers.get("request-id") != request or "server-stamp" not in headers:
                yield f"{request}: the response belongs to another request or carries no Server-Stamp"
            if is_whole(kind, request, body, self.shapes[request].events):
                continue
            if is_ambiguous(self, kind, request, body):
                self.ambiguous.append(request)
            else:
                yield (f"{request} ({kind} by HTTP/{self.http_versions.get(request, '1.1')} at {self.vm_of[request]}): the answer is incomplete or "
                       f"holds parts of another request, of two software versions or twice: {body!r}")

    def check_returns(self):
        for stream in self.returning:
            try:
                stream.assert_sound()
            except AssertionError as error:
                yield f"{stream.first_attempt}, continued by its caller: {error}"
        if self.planned_only:
            yield from (f"{refusal} was refused because of its software version" for refusal in self.version_refusals)

    def check_quarantine(self):
        for request, kind, status, _, body, _ in self.responses:
            if b"quarantined" in body and request not in self.poison:
                yield f"{request} ({kind}) was refused with {status} as quarantined, but crashes no upstream"

    def check_drains(self):
        returns = [entry for entry in self.fleet.history if entry["event"] == "returned"]
        for upstream, (at, store_faults) in self.drains.items():
            drained_until = min((entry["at"] for entry in returns if entry["upstream"] == upstream and entry["at"] > at), default=float("inf"))
            late = [entry for entry in self.fleet.history
                    if entry["event"] == "run" and entry["upstream"] == upstream and at + DRAIN_LIMIT_S < entry["at"] < drained_until
                    and not any(upstream == name and begin < entry["at"] < end for name, begin, end in self.delayed)]
            if late and not (store_faults or self.store_faults):
                yield f"{upstream} got a request {late[0]['at'] - at:.2f} s after it began to drain"

    def check_planned_changes(self):
        if self.planned_only:
            for request, kind, vm, begin, end, error in self.interrupted:
                if not outlasts_process(self, request, vm, begin, end):
                    yield f"{request} ({kind}) at {vm} was interrupted by a planned change: {error}"

    def check_answers(self):
        if self.programs == (PROGRAM,):  # the released build has faults that are known
            yield from unexcused(self)

    def check_tenants(self):
        tenant = TENANT["name"] if self.fleet.tenants else ""
        for entry in self.fleet.history:
            if entry["event"] in ("arrived", "run") and (entry["key"] or (entry["tenant"] or "") != tenant):
                yield f"{entry['upstream']} got {entry['request']} with a key or another tenant: {entry['tenant']!r}"
        if self.fleet.tenants:
            yield from (f"{request} ({kind}) with a valid key and within its quota got {status}"
                        for request, kind, status, *_ in self.responses if status in (401, 429))

    async def recover(self):
        """Returns whether all VMs serve every kind of request, by the last configuration, within the limit."""
        end = time.monotonic() + RECOVERY_LIMIT_S
        for vm in self.vms:
            vm.signal(signal.SIGCONT)
        while time.monotonic() < end:
            try:
                statuses = [(await self.send(kind, vm, limit=3))[1] for vm in self.vms for kind in KINDS]
                versions = [(await metrics(vm)).get("currantstack_routes_version") for vm in self.vms]
                if all(status == 200 for status in statuses) and set(versions) == {self.fleet.version}:
                    return True
            except (EOFError, OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.3)
        return False


async def run_seed(seed, seconds, vms, clients, faults, programs, **counts):
    with_tenants = seed % 2 == 0 and programs == (PROGRAM,)  # the released build does not know them
    async with Soak(seed, vms, faults, programs, tenants=with_tenants, **counts) as soak:
        callers = [asyncio.create_task(soak.caller()) for _ in range(clients * vms)]
        callers += [asyncio.create_task(call_on_kept_connections(soak, KINDS)) for _ in range(clients * vms // 2)]
        await soak.run_changes_and_faults(seconds)
        soak.stopping = True
        await asyncio.gather(*callers)
        violations = [] if await soak.recover() else [f"not every VM serves requests by the last configuration {RECOVERY_LIMIT_S} s after the last fault"]
        violations += soak.check()
        served = sum(status == 200 for _, _, status, *_ in soak.responses)
        print(f"seed {seed}: {len(soak.responses)} responses, {served} served, {len(soak.cut)} without an answer, "
              f"{sum(len(stream.numbers) == stream.EVENTS for stream in soak.returning)} of {len(soak.returning)} returning streams complete, "
              f"{sum(shape.seconds > 0 for shape in soak.shapes.values())} long streams, {len(soak.ambiguous)} parts that HTTP cannot tell from whole "
              f"streams, {dict(soak.joins) or 'no joins'}, {len(violations)} violations",
              flush=True)
        for line in violations[:10]:
            print(f"  {line}")
        if soak.partition:
            soak.partition.close()
        if violations:
            print(f"  logs: {soak.folder}")
        else:
            shutil.rmtree(soak.folder)
        return not violations


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--vms", type=int, default=3)
    parser.add_argument("--clients", type=int, default=4)
    parser.add_argument("--faults", nargs="+", choices=FAULTS + PROCESS_FAULTS + OTHER_FAULTS)
    parser.add_argument("--releases", action="store_true")
    parser.add_argument("--processes", action="store_true")
    parser.add_argument("--engines", type=int, default=5)
    parser.add_argument("--services", type=int, default=3)
    arguments = parser.parse_args()
    faults = arguments.faults or FAULTS + 4 * PROCESS_FAULTS * arguments.processes
    if set(faults) - set(FAULTS) - {PARTITION, JOIN} and not arguments.processes:
        parser.error(f"{(*PROCESS_FAULTS, EARLY_END)} need --processes")
    if arguments.releases and not os.path.exists(RELEASED):
        print(f"skipped: there is no released build at {RELEASED}")
        return
    programs = (PROGRAM, RELEASED) if arguments.releases else (PROGRAM,)
    seeds = range(arguments.seed, arguments.seed + arguments.count)
    counts = {"engines": arguments.engines, "services": arguments.services, "processes": arguments.processes}
    passed = sum(asyncio.run(run_seed(seed, arguments.seconds, arguments.vms, arguments.clients, faults, programs, **counts)) for seed in seeds)
    print(f"{passed} passed, {arguments.count - passed} failed")
    sys.exit(0 if passed == arguments.count else 1)


if __name__ == "__main__":
    main()
