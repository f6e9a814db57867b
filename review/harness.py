"""Runs currant-edge with the command of the deploy file on loopback, beside the project's stand-ins of the platform."""

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "standin"))

from platform_store import PlatformStore  # noqa: E402

HELD, NO_RESULT, BROKEN = 0, 2, 10  # exit codes, which run.sh turns into those of a case
DISRUPTED = os.environ.get("TROUBLE", "1") != "0"

# The settings are those of the example in the users' DEPLOY page; addresses are on loopback.
SETTINGS = """node_name: "{name}"
role: "edge"
machine_class: "front"
serves:
  - "front"
ip: "{ip}"
zone: "{zone}"
region: "{region}"
zones:
  amman-marka: "amman"
  irbid-north: "irbid"
  aqaba-port: "aqaba"
bind:
  front: "{ip}:{port}"
  ready: "{ip}:{ready_port}"
port_range:
  - {first_port}
  - {last_port}
seeds: []
bootstrap: true
counts_for_loss: false
limits:
  cpu_share: 0.25
  cores: 1
  memory_mb: 110
  max_fds: 4100
  link_mbps: 1000.0
  disk_mb: 0
data_dir: null
discovery: "platform"
entry: "vip"
heartbeat_ms: 1200
metrics_port: {metrics_port}
bounds:
  seed_lag_s: 3
  addr_reuse_s: 2
  contact_ms: 4000
  ack_ms: 5000
  sync_timeout_s: 4
  drain_ms: 2500
  grace_s: 8
  loss_slack_ms: 200
  config_apply_ms: 2500
  rollback_slack_ms: 250
  skew_max_ms: 6000
  retry_budget: 0.2
  budget_window_s: 10
  budget_slack: 54
  recovery_s: 12
  transit_ms: 300
  again_s: 7
  require_fence: true
  lease_ms: 3000
  unfreeze_slack_ms: 300
provider:
  address: "{store}"
  form: "kv"
  writes_per_s: 400
  reads_per_s: 2000
  history_s: 20
  value_bytes: 1048576
  ttl_min_ms: 1000
"""

LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}


def free_ports(ip, count):
    """Returns the first of `count` ports in a row that are free for TCP and UDP, below those of outgoing connections."""
    for base in range(20000 + os.getpid() % 50 * 200, 32000, count):
        try:
            for port in range(base, base + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((ip, port))
            return base
        except OSError:
            continue
    raise RuntimeError("no free ports")


def run_command():
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        return tomllib.load(file)["roles"]["edge"]["run"].split()


class Record:
    """Writes what happens to record.txt, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.begin = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.begin:8.3f} {text}\n")
        self.file.flush()


class Vm:
    """One currant-edge process, whose log goes to the temporary folder."""

    def __init__(self, number, zone, store, folder, record):
        self.name, self.ip, self.record = f"front-{zone}-{number}", f"127.0.0.{20 + number}", record
        ports = free_ports(self.ip, 20)
        self.port, self.ready_port = ports, ports + 1
        self.path, self.log_path = os.path.join(folder, f"{self.name}.yaml"), os.path.join(folder, f"{self.name}.log")
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(SETTINGS.format(name=self.name, ip=self.ip, zone=zone, region=zone.partition("-")[0], port=ports, ready_port=ports + 1,
                                       first_port=ports + 2, last_port=ports + 17, metrics_port=ports + 18, store=store.address))
        self.process = None

    async def start(self):
        variables = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        variables["CURRANTSTACK_NODE_FILE"] = self.path
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(*run_command(), cwd=ROOT, env=variables, stdout=log, stderr=log)
        self.record.write(f"{self.name} started, process {self.process.pid}")

    async def wait_until_ready(self, limit=15):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(self.ip, self.ready_port)
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
                status, _, _ = await asyncio.wait_for(read_response(reader), 1)
                writer.close()
                if status == 200:
                    return
            except (OSError, EOFError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} is not ready")

    def anonymous_mb(self):
        """Returns the process's resident memory without pages of files, which is less than what the platform counts."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
                return next((int(line.split()[1]) for line in file if line.startswith("RssAnon")), 0) / 1024
        except (FileNotFoundError, ProcessLookupError):
            return 0

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


class Deployment:
    """A store, upstreams and VMs. `make_upstreams(store)` returns the upstreams, with a server each."""

    def __init__(self, folder, zones, make_upstreams, configuration, record=None, store=None):
        self.record = record or Record(folder)
        self.temporary = tempfile.mkdtemp(prefix="currantstack-review-")
        self.zones, self.make_upstreams, self.configuration = zones, make_upstreams, configuration
        self.store, self.upstreams, self.vms = store or PlatformStore(), [], []

    async def __aenter__(self):
        try:
            return await self.start()
        except BaseException:
            await self.__aexit__()  # a VM that does not become ready must not stay behind
            raise

    async def start(self):
        await self.store.start()
        self.upstreams = self.make_upstreams(self.store)
        for upstream in self.upstreams:
            await upstream.start()
        self.store.put("op/config", json.dumps(self.configuration).encode())
        self.vms = [Vm(number, zone, self.store, self.temporary, self.record) for number, zone in enumerate(self.zones)]
        for vm in self.vms:
            await vm.start()
        for vm in self.vms:
            await vm.wait_until_ready()
        return self

    async def __aexit__(self, *_):
        for vm in self.vms:
            await vm.kill()
        for server in [self.store.server, *(upstream.server for upstream in self.upstreams)]:
            server.stop()  # also if it has not started
        await asyncio.sleep(0.05)
        shutil.rmtree(self.temporary, ignore_errors=True)


async def read_response(reader):
    """Returns status, headers and body; raises EOFError if the response is incomplete."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {name.lower(): value.strip() for name, colon, value in (line.partition(":") for line in head[1:]) if colon}
        body = b""
        if headers.get("transfer-encoding") == "chunked":
            while size := int(await reader.readline(), 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
        return int(head[0].split(" ")[1]), headers, body
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        raise EOFError(str(error)) from error


def request_bytes(method, target, fields, body=b""):
    head = f"{method} {target} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return head.encode() + f"Content-Length: {len(body)}\r\n\r\n".encode() + body


def main(case):
    """Runs the case, which returns whether the rule held, and exits."""
    try:
        held = asyncio.run(asyncio.wait_for(case(), 110))
    except BaseException as error:  # also an interrupt: the case has no result
        print(f"the case could not run: {error!r}")
        sys.exit(NO_RESULT)
    sys.exit(HELD if held else BROKEN)
