"""Concurrent runs of real processes under faults, recorded with begin and end, and checked."""

import json
import pathlib
import random
import signal
import subprocess
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent.parent / "support"))

from cluster import OPERATOR_TOKEN, Cluster, call  # noqa: E402
from relay import Relay  # noqa: E402

IN_FORCE_LIMIT = 8.0   # seconds until an accepted configuration is in force on every live VM
HELD_LIMIT = 15.0      # seconds until no engine holds memory of a request that is gone
FAULTS = ["kill_vm", "pause_vm", "platform_down", "platform_slow", "lost_replies", "engine_crash", "engine_silence", "transfer_stall", "engine_slow",
          "silent_connections", "cut_vm", "service_reply_lost", "service_silent"]

SCENARIO = """
name: history
seconds: {seconds}
grace_s: 20
streams:
  - {{name: documents, kind: model, token: rehoming-token, load: [[0, 0.3]], cancel_share: 0.1, output_tokens: {{min: 20, max: 80}}}}
  - {{name: availability, kind: service, token: rehoming-token, load: [[0, 10]]}}
"""


class History:
    """Events of all clients, in one list."""

    def __init__(self):
        self.events = []
        self.lock = threading.Lock()

    def add(self, **event):
        with self.lock:
            self.events.append(event)

    def of(self, kind):
        return [e for e in self.events if e["kind"] == kind]


class Run:
    """One run: a cluster whose peers reach each other through relays, clients, and a fault at a time or two."""

    def __init__(self, seed, seconds, faults=FAULTS, vms=5, base_port=24000):
        self.random = random.Random(seed)
        self.seed = seed
        self.seconds = seconds
        self.faults = faults
        self.history = History()
        self.cluster = Cluster(vms=vms, prefill=3, decode=6, bookings=3, base_port=base_port, seed=seed, engine_defaults={"linger_ms": 4000})
        self.begin = time.time()
        self.stopping = threading.Event()
        self.excused = {vm: [] for vm in self.cluster.vm_names}  # spans in which a VM was away
        self.relays = {}
        self._route_through_relays()

    def _route_through_relays(self):
        cluster = self.cluster
        direct = cluster.peer
        relayed = lambda vm: f"127.0.0.1:{cluster.base + 500 + cluster.vm_names.index(vm)}"
        cluster.peer = direct
        original = cluster.start_vm

        def start_vm(vm):
            cluster.settings_extra = {"peer_listen_address": direct(vm), "peer_address": relayed(vm),
                                      "peers": [{"name": o, "address": relayed(o)} for o in cluster.vm_names if o != vm]}
            original(vm)

        cluster.start_vm = start_vm
        for vm in cluster.vm_names:
            self.relays[vm] = Relay(int(relayed(vm).split(":")[1]), int(direct(vm).split(":")[1]))

    def now(self):
        return time.time() - self.begin

    # Clients

    def operate(self, name):
        """Reads the configuration at some VM and submits a change, over and over."""
        chance = random.Random(f"{self.seed}-{name}")
        number = 0
        while not self.stopping.is_set():
            time.sleep(chance.uniform(0.2, 0.8))
            number += 1
            vm = chance.choice(self.cluster.vm_names)
            submission = f"{name}-{number}"
            try:
                document = call(self.cluster.peer(vm), "GET", "/operator/config", None, OPERATOR_TOKEN, 3)[1]
            except OSError:
                continue
            document.setdefault("limits", {})["quarantine_s"] = chance.randint(1, 86400)
            began, result, revision = self.now(), "unknown", 0
            for _ in range(4):
                try:
                    status, body = self.cluster.submit(document, document["revision"], vm, submission, timeout=25)
                except OSError:
                    vm = chance.choice(self.cluster.vm_names)
                    time.sleep(0.3)
                    continue
                if isinstance(body, dict) and "accepted" in body:
                    result, revision = ("accepted" if body["accepted"] else "refused"), body["revision"]
                    break
                time.sleep(0.5)
            self.history.add(kind="submit", submission=submission, base=document["revision"], begin=began, end=self.now(), result=result, revision=revision)

    def watch_revisions(self, vm):
        while not self.stopping.is_set():
            process = self.cluster.processes.get(vm)
            began = self.now()
            try:
                body = call(self.cluster.caller(vm), "GET", "/readyz", timeout=1)[1]
                self.history.add(kind="revision", vm=vm, process=process.pid, begin=began, end=self.now(), revision=body["revision"])
            except (OSError, ValueError, TypeError, KeyError):
                pass
            time.sleep(0.05)

    def book(self, name):
        """Books with a key; repeats the request elsewhere while no answer came."""
        chance = random.Random(f"{self.seed}-{name}")
        number = 0
        while not self.stopping.is_set():
            number += 1
            booking = f"{name}-{number}"
            for _ in range(5):
                vm = chance.choice(self.cluster.vm_names)
                began, result, ran = self.now(), "lost", "unknown"
                try:
                    status, body = call(self.cluster.caller(vm), "POST", "/services/adoption/bookings", {"booking": booking}, "shelter-token", chance.choice([0.05, 1, 12]),
                                        {"Idempotency-Key": booking})
                    if status == 201:
                        result = "answered" if isinstance(body, dict) and body.get("booking") == booking else "wrong"
                    else:
                        result, ran = "refused", body.get("ran", "unknown") if isinstance(body, dict) else "unknown"
                except ConnectionRefusedError:
                    result, ran = "refused", "no"
                except OSError:
                    pass
                self.history.add(kind="booking", booking=booking, vm=vm, begin=began, end=self.now(), result=result, ran=ran)
                if result == "answered" and chance.random() < 0.8:
                    break
                time.sleep(chance.uniform(0, 0.3))
            time.sleep(chance.uniform(0, 0.1))

    # Faults

    def away(self, vm, seconds):
        self.excused[vm].append((self.now(), self.now() + seconds))

    def fault_kill_vm(self, chance):
        vm = chance.choice(self.cluster.vm_names)
        self.away(vm, 1e9)
        self.cluster.kill(vm)
        time.sleep(chance.uniform(0.5, 4))
        self.cluster.start_vm(vm)
        self.excused[vm][-1] = (self.excused[vm][-1][0], self.now() + 2)

    def fault_pause_vm(self, chance):
        vm = chance.choice(self.cluster.vm_names)
        length = chance.uniform(1, 5)
        self.away(vm, length + 2)
        self.cluster.kill(vm, signal.SIGSTOP)
        time.sleep(length)
        self.cluster.kill(vm, signal.SIGCONT)

    def fault_platform_down(self, chance):
        self.cluster.platform_fault(**{chance.choice(["down", "silent"]): True})
        time.sleep(chance.uniform(1, 5))
        self.cluster.platform_fault(down=False, silent=False)

    def fault_platform_slow(self, chance):
        self.cluster.platform_fault(slow_ms=chance.choice([100, 700, 1500]))
        time.sleep(chance.uniform(1, 4))
        self.cluster.platform_fault(slow_ms=0)

    def fault_lost_replies(self, chance):
        self.cluster.platform_fault(lost_reply_share=0.5)
        time.sleep(chance.uniform(1, 4))
        self.cluster.platform_fault(lost_reply_share=0)

    def engine_fault(self, chance, role, **fault):
        names = [e["name"] for e in self.cluster.engines if role in (None, e["role"])]
        self.cluster.fault(chance.choice(names), **fault)
        time.sleep(chance.uniform(0.3, 1.5))

    def fault_engine_crash(self, chance):
        self.engine_fault(chance, None, kind="crash")

    def fault_engine_silence(self, chance):
        self.engine_fault(chance, None, kind="silence")

    def fault_transfer_stall(self, chance):
        self.engine_fault(chance, "prefill", kind="stall", duration_ms=900)

    def fault_engine_slow(self, chance):
        self.engine_fault(chance, None, kind="slow", factor=5, duration_ms=1500)

    def service_fault(self, chance, kind):
        booking = chance.choice(self.cluster.bookings)
        call(f"127.0.0.1:{booking['port']}", "POST", "/standin/faults", {"kind": kind, "duration_ms": chance.randint(200, 1500)})
        time.sleep(1)

    def fault_service_reply_lost(self, chance):
        self.service_fault(chance, "lose_reply")

    def fault_service_silent(self, chance):
        self.service_fault(chance, "silence")

    def fault_silent_connections(self, chance):
        self.relays[chance.choice(self.cluster.vm_names)].silence()
        time.sleep(1)

    def fault_cut_vm(self, chance):
        vm = chance.choice(self.cluster.vm_names)
        length = chance.uniform(1, 5)
        self.away(vm, length + 2)
        self.relays[vm].cut = True
        time.sleep(length)
        self.relays[vm].cut = False

    def break_things(self, name):
        chance = random.Random(f"{self.seed}-{name}")
        while self.now() < self.seconds - 6 and not self.stopping.is_set():
            fault = chance.choice(self.faults)
            self.history.add(kind="fault", fault=fault, begin=self.now())
            try:
                getattr(self, "fault_" + fault)(chance)
            except OSError:
                pass
            time.sleep(chance.uniform(0.2, 1.0))

    # The run

    def run(self):
        cluster = self.cluster
        cluster.start()
        cluster.settle()
        self.begin = time.time()
        scenario = cluster.folder / "history.yaml"
        scenario.write_text(SCENARIO.format(seconds=self.seconds))
        outcomes = cluster.folder / "outcomes.json"
        command = [str(cluster.build / "currant-load"), str(scenario), "--capacity", "60", "--seed", str(self.seed), "--json", str(cluster.folder / "report.json"), "--outcomes", str(outcomes)]
        for vm in cluster.vm_names:
            command += ["--target", cluster.caller(vm)]
        load = subprocess.Popen(command)
        clients = [threading.Thread(target=self.operate, args=(f"operator{i}",)) for i in range(2)]
        clients += [threading.Thread(target=self.watch_revisions, args=(vm,)) for vm in cluster.vm_names]
        clients += [threading.Thread(target=self.book, args=(f"booker{i}",)) for i in range(4)]
        breakers = [threading.Thread(target=self.break_things, args=(f"breaker{i}",)) for i in range(2 if self.faults else 0)]
        for thread in clients + breakers:
            thread.start()
        for thread in breakers:
            thread.join()
        cluster.platform_fault(down=False, silent=False, slow_ms=0, lost_reply_share=0)
        time.sleep(max(0, self.seconds - self.now()))
        time.sleep(IN_FORCE_LIMIT)
        self.stopping.set()
        for thread in clients:
            thread.join()
        load.wait(timeout=60)
        return json.loads(outcomes.read_text())

    def wait_until_released(self):
        """Returns what engines still hold when the limit has passed."""
        deadline = time.time() + HELD_LIMIT
        held = {}
        while time.time() < deadline:
            held = {engine: ids for engine, ids in self.cluster.held().items() if ids}
            if not held:
                return {}
            time.sleep(0.2)
        return held
