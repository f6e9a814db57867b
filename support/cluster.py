"""Starts stand-ins and VMs as processes on loopback, for the demo, the benchmarks and the process tests."""

import hashlib
import http.client
import json
import os
import pathlib
import shutil
import signal
import subprocess
import tempfile
import time
import uuid

ROOT = pathlib.Path(__file__).resolve().parent.parent
PEER_SECRET = "a secret of the peers, for tests"
OPERATOR_TOKEN = "operator-token"


def token_hash(token):
    return "sha256:" + hashlib.sha256(token.encode()).hexdigest()


def call(address, method, path, body=None, token=None, timeout=5, headers=None):
    """Makes one HTTP call; returns the status and the body, decoded if it is JSON."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    all_headers = dict(headers or {})
    if token:
        all_headers["Authorization"] = "Bearer " + token
    data = json.dumps(body) if body is not None and not isinstance(body, (str, bytes)) else body
    try:
        connection.request(method, path, body=data, headers=all_headers)
        response = connection.getresponse()
        text = response.read()
        try:
            return response.status, json.loads(text)
        except ValueError:
            return response.status, text.decode(errors="replace")
    finally:
        connection.close()


def default_members():
    """Returns one large member and two small ones; the token of each is "NAME-token"."""
    shares = {"rehoming": 4, "cooperative": 1, "shelter": 1}
    return [
        {"name": name, "share": share, "max_priority": 3, "models": ["*"], "services": ["*"], "token_hashes": [token_hash(name + "-token")]}
        for name, share in shares.items()
    ]


class Cluster:
    """VMs, engines, booking services and the platform, as processes on loopback."""

    def __init__(self, vms=7, prefill=6, decode=12, bookings=3, places=("amman", "irbid", "aqaba"), base_port=21000, policy="ledger",
                 engine_defaults=None, config_extra=None, build=None, seed=1, settings_extra=None, platform_args=()):
        self.build = pathlib.Path(build or os.environ.get("CURRANT_BUILD", ROOT / "build"))
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="currantstack-"))
        self.base_port = base_port
        self.places = list(places)
        self.policy = policy
        self.seed = seed
        self.processes = {}
        self.settings_extra = settings_extra or {}
        self.platform_args = list(platform_args)
        self.vm_names = [f"vm{i}" for i in range(vms)]
        self.engine_defaults = engine_defaults or {}
        self.engines = [self._engine("prefill", i) for i in range(prefill)] + [self._engine("decode", i) for i in range(decode)]
        self.bookings = [{"name": f"booking{i}", "port": base_port + 400 + i, "place": self.places[i % len(self.places)]} for i in range(bookings)]
        self.platform = f"127.0.0.1:{base_port}"
        self.config_extra = config_extra or {}

    def _engine(self, role, index):
        offset = 100 if role == "prefill" else 200
        return {"name": f"{role}{index}", "role": role, "port": self.base_port + offset + index, "place": self.places[index % len(self.places)], "model": "caseworker"}

    def caller_address(self, vm):
        return f"127.0.0.1:{self.base_port + 10 + self.vm_names.index(vm)}"

    def peer_address(self, vm):
        return f"127.0.0.1:{self.base_port + 50 + self.vm_names.index(vm)}"

    def config_document(self):
        """Returns the configuration document."""
        pools = []
        for role in ("prefill", "decode"):
            engines = [{"name": e["name"], "address": f"127.0.0.1:{e['port']}", "place": e["place"], "checks_fencing": True}
                       for e in self.engines if e["role"] == role]
            pools.append({"name": "caseworker-" + role, "model": "caseworker", "role": role, "engines": engines})
        document = {
            "places": [{"name": place, "region": "jordan"} for place in self.places],
            "models": [{"name": "caseworker", "first_token_target_ms": 1700, "token_gap_target_ms": 26}],
            "pools": pools,
            "services": [{
                "name": "adoption", "target_ms": 300,
                "upstreams": [{"name": b["name"], "address": f"127.0.0.1:{b['port']}", "place": b["place"]} for b in self.bookings],
                "calls": [{"method": "POST", "path_prefix": "/bookings", "idempotent": False}],
            }] if self.bookings else [],
            "members": default_members(),
            "operators": [{"name": "consortium", "may_change": ["*"], "token_hashes": [token_hash(OPERATOR_TOKEN)]}],
        }
        document.update(self.config_extra)
        return document

    def spawn(self, name, *command):
        log = open(self.folder / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen([str(self.build / command[0]), *command[1:]], stderr=log, stdout=log, stdin=subprocess.DEVNULL)
        log.close()

    def start_vm(self, vm):
        index = self.vm_names.index(vm)
        settings = {
            "name": vm, "caller_address": self.caller_address(vm), "peer_address": self.peer_address(vm), "place": self.places[index % len(self.places)],
            "region": "jordan", "store_addresses": [self.platform], "platform_address": self.platform, "peer_secret": PEER_SECRET,
            "bootstrap_token_hash": token_hash(OPERATOR_TOKEN), "policy": self.policy,
            "peers": [{"name": other, "address": self.peer_address(other)} for other in self.vm_names if other != vm][:6],
        }
        settings.update(self.settings_extra)
        file = self.folder / f"{vm}.yaml"
        file.write_text(json.dumps(settings))  # JSON is YAML
        self.spawn(vm, "currantd", "--settings", str(file))

    def start_standins(self, shards=1):
        self.spawn("platform", "standin-platform", "--port", str(self.base_port), "--seed", str(self.seed), *self.platform_args)
        for shard in range(shards):
            engines = [{k: e[k] for k in ("name", "role", "port", "model")} for e in self.engines[shard::shards]]
            file = self.folder / f"engines{shard}.yaml"
            file.write_text(json.dumps({"defaults": self.engine_defaults, "engines": engines}))
            self.spawn(f"engines{shard}", "standin-engine", "--settings", str(file), "--seed", str(self.seed))
        if self.bookings:
            file = self.folder / "services.yaml"
            file.write_text(json.dumps({"work_ms": 8, "services": [{k: b[k] for k in ("name", "port")} for b in self.bookings]}))
            self.spawn("services", "standin-service", "--settings", str(file))

    def start(self, shards=1):
        self.start_standins(shards)
        self.wait_for(lambda: call(self.platform, "GET", "/standin/counters")[0] == 200)
        for vm in self.vm_names:
            self.start_vm(vm)
        for vm in self.vm_names:
            self.wait_for(lambda vm=vm: call(self.caller_address(vm), "GET", "/healthz")[0] == 200)
        result = self.submit(self.config_document(), 0)
        if not result[1].get("accepted"):
            raise RuntimeError(f"the configuration was refused: {result}")
        for vm in self.vm_names:
            self.wait_for(lambda vm=vm: call(self.caller_address(vm), "GET", "/readyz")[0] == 200)

    def settle(self, seconds=2.5):
        """Waits until the VMs have fetched their engines' lists and received each other's reports."""
        time.sleep(seconds)

    def submit(self, document, base, vm=None, submission=None, token=OPERATOR_TOKEN, timeout=20):
        """Submits a configuration that is based on the revision `base`; returns the status and the body."""
        body = {"submission": submission or uuid.uuid4().hex, "base": base, "document": document}
        return call(self.peer_address(vm or self.vm_names[0]), "POST", "/operator/config", body, token, timeout)

    def wait_for(self, is_ready, seconds=10):
        deadline = time.time() + seconds
        while time.time() < deadline:
            try:
                if is_ready():
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise RuntimeError("a condition did not hold in time; logs in " + str(self.folder))

    def kill(self, name, number=signal.SIGKILL):
        """Sends a signal to the process; waits for its end if the signal is SIGKILL or SIGTERM."""
        self.processes[name].send_signal(number)
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.processes[name].wait(timeout=90)

    def inject_fault(self, engine, **fault):
        port = next(e["port"] for e in self.engines if e["name"] == engine)
        return call(f"127.0.0.1:{port}", "POST", "/standin/faults", fault)

    def set_platform_faults(self, **faults):
        return call(self.platform, "POST", "/standin/faults", faults)

    def counters(self):
        """Returns the counters summed over all VMs that answer."""
        total = {}
        for vm in self.vm_names:
            try:
                for key, value in call(self.caller_address(vm), "GET", "/counters")[1].items():
                    total[key] = total.get(key, 0) + value
            except OSError:
                pass
        return total

    def engine_counters(self):
        """Returns the counters summed over all engines that answer."""
        total = {}
        for engine in self.engines:
            try:
                for key, value in call(f"127.0.0.1:{engine['port']}", "GET", "/standin/counters")[1].items():
                    total[key] = total.get(key, 0) + value
            except OSError:
                pass
        return total

    def held_requests(self):
        """Returns for each engine the ids of the requests that occupy it. A restarting engine has none."""
        held = {}
        for engine in self.engines:
            try:
                listed = call(f"127.0.0.1:{engine['port']}", "GET", "/v1/requests")[1]["requests"]
            except ConnectionRefusedError:
                listed = []
            held[engine["name"]] = [request["request_id"] for request in listed]
        return held

    def stop(self, keep=False):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)

    def __enter__(self):
        return self

    def __exit__(self, error_type, error, traceback):
        self.stop(keep=error_type is not None)
