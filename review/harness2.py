"""Starts the project's programs on loopback, before the project's stand-ins of the platform, for the cases in review/6 to review/10.

A case's run.sh starts its script with python3. The script ends with status 1 if the rule was broken, 0 if it held, and 2 if it could not run. With
TROUBLE=0 in the environment it leaves the disruption out.
"""

import asyncio
import collections
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "standin"))

from platform_fleet import Fleet, route  # noqa: E402,F401

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LONGEST_RUN_S = 110
BOOKERS = 12  # clients with a kept channel each, beside a load
LOST_ALLOWED = 3  # of the rule LOST
VM_PORTS = 20  # ports from the first one of a VM that have to be free: callers, readiness, the range between VMs, metrics

SETTINGS = """node_name: "{name}"
role: "edge"
machine_class: "front"
serves:
  - "front"
ip: "{ip}"
zone: "{zone}"
region: "{region}"
zones:
  z1: "r1"
  z2: "r2"
bind:
  front: "{ip}:{port}"
  ready: "{ip}:{ready}"
port_range:
  - {first}
  - {last}
seeds: []
bootstrap: true
counts_for_loss: false
limits:
  cpu_share: 0.25
  cores: 1
  memory_mb: 260
  max_fds: 4100
  link_mbps: 1000.0
  disk_mb: 0
data_dir: null
discovery: "platform"
entry: "vip"
heartbeat_ms: 1200
metrics_port: {metrics}
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
  again_s: 6.6
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


def free_ports(ips, count):
    """Returns the first of `count` ports in a row that are free at all addresses, below those of outgoing connections."""
    for base in range(20000 + os.getpid() % 100 * 100, 32000, count):
        try:
            for ip in ips:
                for port in range(base, base + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(type=kind) as probe:
                            probe.bind((ip, port))
            return base
        except OSError:
            continue
    raise RuntimeError("no free ports")


class Vm:
    """One process of the deploy file's role, which reads its settings where the platform puts them and logs to a file."""

    def __init__(self, number, port, store, folder):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.command = tomllib.load(file)["roles"]["edge"]["run"].split(" ")
        self.name, self.ip, self.port = f"front-z{number % 2 + 1}-{number}", f"127.0.0.{20 + number}", port
        self.path, self.log_path = os.path.join(folder, f"{self.name}.yaml"), os.path.join(folder, f"{self.name}.log")
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(SETTINGS.format(name=self.name, ip=self.ip, zone=f"z{number % 2 + 1}", region=f"r{number % 2 + 1}", port=port, ready=port + 1,
                                       first=port + 2, last=port + VM_PORTS - 2, metrics=port + VM_PORTS - 1, store=store))
        self.process = None

    async def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(*self.command, cwd=ROOT, stdout=log, stderr=log,
                                                                env={**environment, "CURRANTSTACK_NODE_FILE": self.path})

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, self.port + 1), 1)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_until_ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > end:
                raise RuntimeError(f"{self.name} is not ready")
            await asyncio.sleep(0.1)

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)


class System:
    """The platform's stand-ins on this event loop, and VMs as processes of their own."""

    def __init__(self, vms=1, **counts):
        self.vm_count, self.vms = vms, []
        self.fleet = Fleet(**counts)
        self.folder = tempfile.mkdtemp(prefix="currantstack-review-")

    async def __aenter__(self):
        await self.fleet.start()
        port = free_ports([f"127.0.0.{20 + number}" for number in range(self.vm_count)], VM_PORTS)
        self.vms = [Vm(number, port, self.fleet.store.address, self.folder) for number in range(self.vm_count)]
        try:
            for vm in self.vms:
                await vm.start()
            for vm in self.vms:
                await vm.wait_until_ready()
        except Exception:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_):
        for vm in self.vms:
            vm.signal(signal.SIGCONT)
            vm.signal(signal.SIGKILL)
        for vm in self.vms:
            if vm.process:
                await vm.process.wait()
        for server in [self.fleet.store.server, *(upstream.server for upstream in self.fleet.upstreams)]:
            server.stop()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def head_of(kind, request_id, deadline_ms, extra=""):
    """Returns the head and the body of a small request on the route of this kind; `extra` holds further header fields."""
    return (f"POST /{kind}/x HTTP/1.1\r\nHost: app.example\r\nRequest-Id: {request_id}\r\nDeadline-Ms: {deadline_ms}\r\n{extra}"
            "Content-Length: 5\r\n\r\nhello").encode()


async def stream(vm, number, results, extra):
    """A client of the model engines, which reads all that it gets."""
    try:
        reader, writer = await asyncio.open_connection(vm.ip, vm.port)
        writer.write(head_of("digest", f"stream-{number}", 14000, extra))
        results[number] = (await reader.readline()).decode("latin-1").strip() or "closed without an answer"
        while await reader.read(65536):
            pass
        writer.close()
    except OSError as error:
        results[number] = repr(error)


async def book(vm, number, outcomes, is_over):
    """A client that sends one booking after the other on a kept channel, and records how each ended."""
    writer = None
    count = 0
    while not is_over():
        try:
            if writer is None:
                reader, writer = await asyncio.open_connection(vm.ip, vm.port)
                on_channel = 0
            count += 1
            on_channel += 1
            request_id = f"booking-{number}-{count}"
            outcomes[request_id] = "sent on a kept channel" if on_channel > 1 else "sent on a new channel"
            writer.write(head_of("book", request_id, 3000))
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            length = next(int(line.split(":")[1]) for line in head.split("\r\n") if line.lower().startswith("content-length"))
            await reader.readexactly(length)
            outcomes[request_id] = head.split("\r\n")[0]
            await asyncio.sleep(next((float(line.split(":")[1]) for line in head.split("\r\n") if line.lower().startswith("retry-after")), 0))
            if "connection: close" in head.lower():
                writer.close()
                writer = None
        except (asyncio.IncompleteReadError, OSError):
            if writer:
                outcomes[request_id] += ", closed without an answer"
                writer.close()
            writer = None
            await asyncio.sleep(0.3)


def lost_bookings(outcomes, history):
    """Returns the bookings that a server ran and whose kept channel was closed without an answer."""
    ran = {entry["request"] for entry in history if entry["event"] == "run"}
    return [name for name, outcome in outcomes.items() if outcome == "sent on a kept channel, closed without an answer" and name in ran]


def anonymous_mb(vm):
    """Returns the process's memory without pages of files and bytes in the kernel, in units of 1,000,000 bytes."""
    try:
        with open(f"/proc/{vm.process.pid}/status", encoding="utf-8") as file:
            return next((int(line.split()[1]) for line in file if line.startswith("RssAnon")), 0) * 1024 / 1e6
    except OSError:
        return 0


async def load_vm(record, system, memory_mb, streams, streams_per_s, seconds, fields):
    """Sends streams with these header fields to the first VM, beside clients that book on kept channels.

    Ends the process and starts it again when it exceeds its memory, as the platform does. Returns how often, and the bookings that were lost.
    """
    vm, history = system.vms[0], system.fleet.history
    is_over, outcomes, results, tasks, highest, killed, shown = False, {}, {}, [], 0.0, 0, 0
    bookers = [asyncio.create_task(book(vm, number, outcomes, lambda: is_over)) for number in range(BOOKERS)]
    await asyncio.sleep(2)
    begin = time.monotonic()
    while (elapsed := time.monotonic() - begin) < seconds:
        while len(tasks) < min(streams, int(elapsed * streams_per_s)):
            tasks.append(asyncio.create_task(stream(vm, len(tasks), results, fields)))
        used = anonymous_mb(vm)
        highest = max(highest, used)
        if elapsed > shown:
            record.write(f"memory {used:.1f} MB; {len(tasks)} streams sent, {len(results)} with an answer; {len(outcomes)} bookings sent")
            shown += 1
        if used > memory_mb:
            killed += 1
            record.write(f"memory {used:.1f} MB exceeds memory_mb {memory_mb}: the platform kills the process and starts it again")
            vm.signal(signal.SIGKILL)
            await vm.process.wait()
            await asyncio.sleep(0.5)
            await vm.start()
        await asyncio.sleep(0.02)
    is_over = True
    for task in (*bookers, *tasks):
        task.cancel()
    await asyncio.gather(*bookers, *tasks, return_exceptions=True)
    lost = lost_bookings(outcomes, history)
    record.write(f"highest memory {highest:.1f} MB; the process was killed {killed} times")
    for kind, values in (("streams", results.values()), ("bookings", outcomes.values())):
        for outcome, count in sorted(collections.Counter(values).items()):
            record.write(f"{kind} '{outcome}': {count}")
    record.write(f"bookings that a sound server ran, and whose kept channel was closed without an answer: {len(lost)}, allowed {LOST_ALLOWED}: {lost}")
    return killed, lost


class Record:
    """The record of a run: what was sent, answered and run, with the seconds since its begin."""

    def __init__(self, folder):
        self.begin = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.write(f"the run begins, {'with' if TROUBLE else 'without'} the disruption")

    def write(self, text):
        print(f"{time.monotonic() - self.begin:8.3f} s  {text}", file=self.file, flush=True)


def main(folder, case):
    """Runs `case(record)`, which returns HELD or BROKEN, and exits with its result."""
    record = Record(folder)
    try:
        result = asyncio.run(asyncio.wait_for(case(record), LONGEST_RUN_S))
    except BaseException as error:  # noqa: BLE001
        record.write(f"the case could not run: {error!r}")
        traceback.print_exc()
        sys.exit(COULD_NOT_RUN)
    record.write({HELD: "the rule held", BROKEN: "the rule was broken"}.get(result, "the case could not run"))
    sys.exit(result)
