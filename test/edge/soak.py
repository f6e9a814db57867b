#!/usr/bin/env python3
"""Randomized fault soak of currant-edge: real processes, stand-ins and relays on loopback; the promises are checked as callers
and upstreams see them.

Usage: soak.py [--seed N] [--seconds S] [--count N] [--vms N]

Plays `count` runs with rising seeds. Closes with "N passed, N failed"; the log folder of a failed run is kept and printed.
"""

import argparse
import asyncio
import os
import random
import shutil
import signal
import sys
import time

from rig import ROOT, Rig, call

sys.path.insert(0, os.path.join(ROOT, "support"))

from relay import Relay  # noqa: E402

DRAIN_BOUND = 2.5  # seconds after which a leaving upstream gets no new work
RECOVERY = 12.0  # seconds after the last fault within which all VMs serve again
KINDS = ("book", "check", "stream", "digest")
ONCE_ONLY = ("book", "digest")


class Soak(Rig):
    """A rig whose paths to the store lead through relays, one for each VM."""

    def __init__(self, seed, vms):
        super().__init__(vms=vms, seed=seed, grace=6, prefill=2, decode=3, services=3)
        self.seed, self.random = seed, random.Random(seed)
        # Every third run has planned work only, in which no request may be cut.
        self.planned_only = seed % 3 == 0
        self.relays, self.answers, self.broken, self.drains = {}, [], [], {}
        self.store_faults, self.stopping = False, False

    async def __aenter__(self):
        await super().__aenter__()
        for vm in self.vms:
            relay = self.relays[vm.name] = Relay(0, int(self.fleet.store.address.rsplit(":", 1)[1]))
            with open(vm.path, encoding="utf-8") as file:
                text = file.read()
            with open(vm.path, "w", encoding="utf-8") as file:
                file.write(text.replace(self.fleet.store.address, f"127.0.0.1:{relay.port}"))
            vm.signal(signal.SIGKILL)
            await vm.process.wait()
            await vm.start()
            await vm.until_ready()
        return self

    async def __aexit__(self, *error):
        await super().__aexit__(*error)
        for relay in self.relays.values():
            relay.reset()
            relay.close()

    # Callers

    async def caller(self):
        while not self.stopping:
            await asyncio.sleep(self.random.expovariate(12))
            ready = [vm for vm in self.vms if vm.process.returncode is None and not getattr(vm, "leaving", 0)]
            if not ready:
                continue
            kind, vm, request = self.random.choice(KINDS), self.random.choice(ready), self.request_id()
            begin = time.monotonic()
            try:
                _, status, headers, body = await self.ask(kind, vm, request, deadline=4000, limit=9)
                self.answers.append((request, kind, status, headers, body, begin))
            except (EOFError, OSError, asyncio.TimeoutError) as error:
                self.broken.append((request, kind, vm.name, begin, repr(error)))

    # Faults

    async def planned(self):
        action = self.random.choice(("term", "hup", "drain", "configure"))
        if action == "term":
            await self.restart(self.random.choice(self.vms))
        elif action == "hup":
            self.random.choice(self.vms).signal(signal.SIGHUP)
        elif action == "drain":
            await self.replace(self.random.choice(self.fleet.services))
        else:
            self.fleet.configure()

    async def restart(self, vm):
        vm.leaving = True  # the balancer sends it no new callers
        vm.signal(signal.SIGTERM)
        await asyncio.wait_for(vm.process.wait(), 10)
        await vm.start()
        await vm.until_ready()
        vm.leaving = False

    async def replace(self, service):
        service.drain()
        self.drains[service.id] = (time.monotonic(), self.store_faults)
        await asyncio.sleep(DRAIN_BOUND + 1.5)
        await service.restart()

    async def unplanned(self):
        fault = self.random.choice(("kill", "freeze", "store", "relay", "engine", "answers", "service", "forget"))
        vm, length = self.random.choice(self.vms), self.random.uniform(0.5, 3)
        if fault == "kill":
            vm.signal(signal.SIGKILL)
            await vm.process.wait()
            await vm.start()
        elif fault == "freeze":
            vm.signal(signal.SIGSTOP)
            await asyncio.sleep(length)
            vm.signal(signal.SIGCONT)
        elif fault == "store":
            await self.with_store(length)
        elif fault == "relay":
            await self.with_relay(self.relays[vm.name], length)
        elif fault == "engine":
            await self.random.choice(self.fleet.engines).restart()
        elif fault == "forget":
            self.fleet.store.forget()
        else:
            await self.with_upstreams(self.fleet.services if fault == "service" else self.fleet.engines, length)

    async def with_store(self, length):
        self.store_faults, store = True, self.fleet.store
        store.mode, store.lost, store.delay = self.random.choice((("silent", 0, 0.002), ("busy", 0, 0.002), ("reset", 0, 0.002),
                                                                  ("up", 0.5, 0.002), ("up", 0, 0.3)))
        await asyncio.sleep(length)
        store.mode, store.lost, store.delay = "up", 0, 0.002

    async def with_relay(self, relay, length):
        self.store_faults = True
        fault = self.random.choice(("cut", "cut_answers", "delay", "reset", "silence"))
        if fault in ("reset", "silence"):
            getattr(relay, fault)()
            return
        setattr(relay, fault, 0.3 if fault == "delay" else True)
        await asyncio.sleep(length)
        setattr(relay, fault, 0.0 if fault == "delay" else False)

    async def with_upstreams(self, upstreams, length):
        fault = self.random.choice(("torn", "stall", "shed", "hang", "lost", "error", "foreign", "surplus"))
        chosen = self.random.sample(upstreams, 1 + len(upstreams) // 3)
        for upstream in chosen:
            upstream.fault, upstream.fault_share = fault, self.random.uniform(0.1, 0.6)
        await asyncio.sleep(length)
        for upstream in chosen:
            upstream.fault = ""

    async def faults(self, seconds):
        end, tasks = time.monotonic() + seconds, []
        while time.monotonic() < end:
            await asyncio.sleep(self.random.uniform(0.2, 1.5))
            planned = self.planned_only or self.random.random() < 0.4
            if planned:
                await self.planned()  # planned work comes in series
            else:
                tasks.append(asyncio.create_task(self.unplanned()))  # the rest overlaps
        await asyncio.gather(*tasks)

    # Promises

    def check(self):
        """Returns what was broken, a line each."""
        return [*self.check_runs(), *self.check_answers(), *self.check_drains(), *self.check_planned()]

    def check_runs(self):
        kinds = {request: kind for request, kind, *_ in [*self.answers, *self.broken]}
        runs = {}
        for entry in self.fleet.history:
            if entry["event"] == "run":
                runs.setdefault(entry["request"], []).append(entry)
            if entry["event"] == "foreign_handle":
                yield f"{entry['request']} took the memory of {entry['owner']}"
        for request, entries in runs.items():
            if kinds.get(request) in ONCE_ONLY and len(entries) > 1:
                yield f"{request} ({kinds[request]}) ran {len(entries)} times"
        for request, kind, status, *_ in self.answers:
            if status in (503, 429, 408, 421) and kind in ONCE_ONLY and request in runs:
                yield f"{request} ({kind}) was refused with {status} and ran"

    def check_answers(self):
        for request, kind, status, headers, body, _ in self.answers:
            if status != 200:
                if headers.get("server-stamp") and status not in (500, 503):
                    yield f"{request}: status {status} with an upstream's stamp"
                continue
            if headers.get("request-id") != request or "server-stamp" not in headers:
                yield f"{request}: an answer that is not its own"
            if kind in ("stream", "digest"):
                expected = "".join(f"id: {number}\ndata: {request} {number}\n\n" for number in range(1, 13)).encode()
                if body != expected:
                    yield f"{request}: events are missing, doubled or foreign: {body!r}"
            elif request.encode() not in body:
                yield f"{request}: a foreign body"

    def check_drains(self):
        for upstream, (at, store_faults) in self.drains.items():
            late = [entry for entry in self.fleet.history
                    if entry["event"] == "run" and entry["upstream"] == upstream and entry["at"] > at + DRAIN_BOUND]
            if late and not (store_faults or self.store_faults):
                yield f"{upstream} got work {late[0]['at'] - at:.2f} s after it began to leave"

    def check_planned(self):
        if self.planned_only:
            for request, kind, vm, begin, error in self.broken:
                yield f"{request} ({kind}) at {vm} was cut by planned work: {error}"

    async def recovered(self):
        end = time.monotonic() + RECOVERY
        for vm in self.vms:
            vm.signal(signal.SIGCONT)
        while time.monotonic() < end:
            try:
                statuses = [(await self.ask(kind, vm, limit=3))[1] for vm in self.vms for kind in KINDS]
                if all(status == 200 for status in statuses):
                    return True
            except (EOFError, OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.3)
        return False


async def play(seed, seconds, vms):
    async with Soak(seed, vms) as soak:
        callers = [asyncio.create_task(soak.caller()) for _ in range(4 * vms)]
        await soak.faults(seconds)
        soak.stopping = True
        await asyncio.gather(*callers)
        found = [] if await soak.recovered() else [f"not every VM serves {RECOVERY} s after the last fault"]
        found += soak.check()
        served = sum(status == 200 for _, _, status, *_ in soak.answers)
        print(f"seed {seed}: {len(soak.answers)} answers, {served} served, {len(soak.broken)} cut, {len(found)} broken promises", flush=True)
        for line in found[:10]:
            print(f"  {line}")
        if found:
            print(f"  logs: {soak.folder}")
        else:
            shutil.rmtree(soak.folder)
        return not found


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--vms", type=int, default=3)
    arguments = parser.parse_args()
    seeds = range(arguments.seed, arguments.seed + arguments.count)
    passed = sum(asyncio.run(play(seed, arguments.seconds, arguments.vms)) for seed in seeds)
    print(f"{passed} passed, {arguments.count - passed} failed")
    sys.exit(0 if passed == arguments.count else 1)


if __name__ == "__main__":
    main()
