"""Runs of real processes with concurrent clients under injected faults. Each operation is recorded with its begin and end for checker.py."""

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

IN_FORCE_LIMIT_S = 8.0  # until an accepted configuration is in force on every live VM
HELD_LIMIT_S = 15.0  # until engines have released all requests that ended
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
    """The recorded operations of all clients; thread-safe."""

    def __init__(self):
        self.events = []
        self.lock = threading.Lock()

    def add(self, **event):
        with self.lock:
            self.events.append(event)

    def of_kind(self, kind):
        return [e for e in self.events if e["kind"] == kind]


class Run:
    """One run: a cluster whose VMs reach each other through relays, its clients, and up to two faults at a time."""

    def __init__(self, seed, seconds, faults=FAULTS, vms=5, base_port=24000):
        self.random = random.Random(seed)
        self.seed = seed
        self.seconds = seconds
        self.faults = faults
        self.history = History()
        self.cluster = Cluster(vms=vms, prefill=3, decode=6, bookings=3, base_port=base_port, seed=seed, engine_defaults={"linger_ms": 4000})
        self.begin = time.time()
        self.stopping = threading.Event()
        self.outages = {vm: [] for vm in self.cluster.vm_names}  # spans (begin, end) in which a VM was down or unreachable
        self.relays = {}
        self._route_peers_through_relays()

    def _route_peers_through_relays(self):
        cluster = self.cluster
        direct = cluster.peer_address
        relayed = lambda vm: f"127.0.0.1:{cluster.base_port + 500 + cluster.vm_names.index(vm)}"
        cluster.peer_address = direct
        start_directly = cluster.start_vm

        def start_vm(vm):
            cluster.settings_extra = {"peer_listen_address": direct(vm), "peer_address": relayed(vm),
                                      "peers": [{"name": o, "address": relayed(o)} for o in cluster.vm_names if o != vm]}
            start_directly(vm)

        cluster.start_vm = start_vm
        for vm in cluster.vm_names:
            self.relays[vm] = Relay(int(relayed(vm).split(":")[1]), int(direct(vm).split(":")[1]))

    def now(self):
        return time.time() - self.begin

    # Clients

    def run_operator(self, name):
        """Repeatedly reads the configuration from a random VM and submits a change; retries the submission while its outcome is unknown."""
        rng = random.Random(f"{self.seed}-{name}")
        number = 0
        while not self.stopping.is_set():
            time.sleep(rng.uniform(0.2, 0.8))
            number += 1
            vm = rng.choice(self.cluster.vm_names)
            submission = f"{name}-{number}"
            try:
                document = call(self.cluster.peer_address(vm), "GET", "/operator/config", None, OPERATOR_TOKEN, 3)[1]
            except OSError:
                continue
            document.setdefault("limits", {})["quarantine_s"] = rng.randint(1, 86400)
            began, result, revision = self.now(), "unknown", 0
            for _ in range(4):
                try:
                    status, body = self.cluster.submit(document, document["revision"], vm, submission, timeout=25)
                except OSError:
                    vm = rng.choice(self.cluster.vm_names)
                    time.sleep(0.3)
                    continue
                if isinstance(body, dict) and "accepted" in body:
                    result, revision = ("accepted" if body["accepted"] else "refused"), body["revision"]
                    break
                time.sleep(0.5)
            self.history.add(kind="submit", submission=submission, base=document["revision"], begin=began, end=self.now(), result=result, revision=revision)

    def poll_revision(self, vm):
        """Records which revision the VM reports."""
        while not self.stopping.is_set():
            process = self.cluster.processes.get(vm)
            began = self.now()
            try:
                body = call(self.cluster.caller_address(vm), "GET", "/readyz", timeout=1)[1]
                self.history.add(kind="revision", vm=vm, process=process.pid, begin=began, end=self.now(), revision=body["revision"])
            except (OSError, ValueError, TypeError, KeyError):
                pass
            time.sleep(0.05)

    def run_booker(self, name):
        """Makes bookings with idempotency keys; retries each at random VMs until it is answered, and sometimes after that."""
        rng = random.Random(f"{self.seed}-{name}")
        number = 0
        while not self.stopping.is_set():
            number += 1
            booking = f"{name}-{number}"
            for _ in range(5):
                vm = rng.choice(self.cluster.vm_names)
                began, result, ran = self.now(), "lost", "unknown"
                try:
                    status, body = call(self.cluster.caller_address(vm), "POST", "/services/adoption/bookings", {"booking": booking}, "shelter-token", rng.choice([0.05, 1, 12]),
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
                if result == "answered" and rng.random() < 0.8:
                    break
                time.sleep(rng.uniform(0, 0.3))
            time.sleep(rng.uniform(0, 0.1))

    # Faults

    def record_outage(self, vm, seconds):
        self.outages[vm].append((self.now(), self.now() + seconds))

    def fault_kill_vm(self, rng):
        vm = rng.choice(self.cluster.vm_names)
        self.record_outage(vm, 1e9)
        self.cluster.kill(vm)
        time.sleep(rng.uniform(0.5, 4))
        self.cluster.start_vm(vm)
        self.outages[vm][-1] = (self.outages[vm][-1][0], self.now() + 2)

    def fault_pause_vm(self, rng):
        vm = rng.choice(self.cluster.vm_names)
        duration = rng.uniform(1, 5)
        self.record_outage(vm, duration + 2)
        self.cluster.kill(vm, signal.SIGSTOP)
        time.sleep(duration)
        self.cluster.kill(vm, signal.SIGCONT)

    def fault_platform_down(self, rng):
        self.cluster.set_platform_faults(**{rng.choice(["down", "silent"]): True})
        time.sleep(rng.uniform(1, 5))
        self.cluster.set_platform_faults(down=False, silent=False)

    def fault_platform_slow(self, rng):
        self.cluster.set_platform_faults(slow_ms=rng.choice([100, 700, 1500]))
        time.sleep(rng.uniform(1, 4))
        self.cluster.set_platform_faults(slow_ms=0)

    def fault_lost_replies(self, rng):
        self.cluster.set_platform_faults(lost_reply_share=0.5)
        time.sleep(rng.uniform(1, 4))
        self.cluster.set_platform_faults(lost_reply_share=0)

    def inject_engine_fault(self, rng, role, **fault):
        names = [e["name"] for e in self.cluster.engines if role in (None, e["role"])]
        self.cluster.inject_fault(rng.choice(names), **fault)
        time.sleep(rng.uniform(0.3, 1.5))

    def fault_engine_crash(self, rng):
        self.inject_engine_fault(rng, None, kind="crash")

    def fault_engine_silence(self, rng):
        self.inject_engine_fault(rng, None, kind="silence")

    def fault_transfer_stall(self, rng):
        self.inject_engine_fault(rng, "prefill", kind="stall", duration_ms=900)

    def fault_engine_slow(self, rng):
        self.inject_engine_fault(rng, None, kind="slow", factor=5, duration_ms=1500)

    def inject_service_fault(self, rng, kind):
        booking = rng.choice(self.cluster.bookings)
        call(f"127.0.0.1:{booking['port']}", "POST", "/standin/faults", {"kind": kind, "duration_ms": rng.randint(200, 1500)})
        time.sleep(1)

    def fault_service_reply_lost(self, rng):
        self.inject_service_fault(rng, "lose_reply")

    def fault_service_silent(self, rng):
        self.inject_service_fault(rng, "silence")

    def fault_silent_connections(self, rng):
        self.relays[rng.choice(self.cluster.vm_names)].silence()
        time.sleep(1)

    def fault_cut_vm(self, rng):
        vm = rng.choice(self.cluster.vm_names)
        duration = rng.uniform(1, 5)
        self.record_outage(vm, duration + 2)
        self.relays[vm].cut = True
        time.sleep(duration)
        self.relays[vm].cut = False

    def run_faults(self, name):
        """Injects random faults until shortly before the end of the run."""
        rng = random.Random(f"{self.seed}-{name}")
        while self.now() < self.seconds - 6 and not self.stopping.is_set():
            fault = rng.choice(self.faults)
            self.history.add(kind="fault", fault=fault, begin=self.now())
            try:
                getattr(self, "fault_" + fault)(rng)
            except OSError:
                pass
            time.sleep(rng.uniform(0.2, 1.0))

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
            command += ["--target", cluster.caller_address(vm)]
        load = subprocess.Popen(command)
        clients = [threading.Thread(target=self.run_operator, args=(f"operator{i}",)) for i in range(2)]
        clients += [threading.Thread(target=self.poll_revision, args=(vm,)) for vm in cluster.vm_names]
        clients += [threading.Thread(target=self.run_booker, args=(f"booker{i}",)) for i in range(4)]
        fault_threads = [threading.Thread(target=self.run_faults, args=(f"breaker{i}",)) for i in range(2 if self.faults else 0)]
        for thread in clients + fault_threads:
            thread.start()
        for thread in fault_threads:
            thread.join()
        cluster.set_platform_faults(down=False, silent=False, slow_ms=0, lost_reply_share=0)
        time.sleep(max(0, self.seconds - self.now()))
        time.sleep(IN_FORCE_LIMIT_S)
        self.stopping.set()
        for thread in clients:
            thread.join()
        load.wait(timeout=60)
        return json.loads(outcomes.read_text())

    def wait_until_released(self):
        """Waits until no engine is occupied by a request; returns those that still are when the limit has passed."""
        deadline = time.time() + HELD_LIMIT_S
        held = {}
        while time.time() < deadline:
            held = {engine: ids for engine, ids in self.cluster.held_requests().items() if ids}
            if not held:
                return {}
            time.sleep(0.2)
        return held
