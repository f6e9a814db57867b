"""Measures the overhead of the request path, the cost and latency of coordination between VMs, and the CPU cost of single decisions."""

import json
import pathlib
import statistics
import subprocess
import time

from cluster import OPERATOR_TOKEN, Cluster, call
from decisions import cpu_seconds

FAST_ENGINE = {"slots": 400, "prefill_overhead_ms": 0.2, "prefill_us_per_token": 1, "step_base_ms": 5, "step_per_request_ms": 0, "kv_bytes_per_token": 1}


def resident_kb(process):
    for line in open(f"/proc/{process.pid}/status"):
        if line.startswith("VmRSS"):
            return int(line.split()[1])
    return 0


def write_scenario(folder, name, seconds, rate, output, prompt=200, grace=20):
    """Writes a scenario with one model stream; returns its file. `rate` is in requests per second, `output` and `prompt` are in tokens."""
    file = folder / f"{name}.yaml"
    file.write_text(json.dumps({"name": name, "seconds": seconds, "grace_s": grace, "first_token_ms": 60000, "gap_ms": 60000, "streams": [
        {"name": "documents", "kind": "model", "token": "rehoming-token", "load": [[0, rate]], "prompt_tokens": {"median": prompt, "sigma": 0.5, "min": 20, "max": 2000},
         "output_tokens": {"min": output, "max": output}}]}))
    return file


def start_load(cluster, file, extra=(), targets=None):
    """Starts the load generator; returns its process and the file that it writes its report to."""
    report = cluster.folder / "load.json"
    command = [str(cluster.build / "currant-load"), str(file), "--capacity", "1", "--json", str(report), *extra]
    for target in targets or [cluster.caller_address(vm) for vm in cluster.vm_names]:
        command += ["--target", target]
    return subprocess.Popen(command), report


def path():
    """Returns the latency that one currantd adds, the tokens that it relays per core and second, and its memory per stream."""
    figures = {}
    document = {"limits": {"default_deadline_ms": 60000}}
    with Cluster(vms=1, prefill=1, decode=2, bookings=0, places=("amman",), engine_defaults=FAST_ENGINE, base_port=27000, config_extra=document) as cluster:
        cluster.start(shards=3)
        cluster.settle(3)
        file = write_scenario(cluster.folder, "latency", 15, 82, 20)
        process, report = start_load(cluster, file)
        process.wait()
        routed = json.loads(report.read_text())["streams"]["documents"]
        engines = [f"127.0.0.1:{e['port']}" for e in cluster.engines]
        process, report = start_load(cluster, file, ["--direct-prefill", engines[0], "--direct-decode", engines[1]])
        process.wait()
        direct = json.loads(report.read_text())["streams"]["documents"]
        for share in ("p50", "p99"):
            figures[f"first_token_through_{share}_ms"] = routed["first_token_ms"][share]
            figures[f"first_token_direct_{share}_ms"] = direct["first_token_ms"][share]
            figures[f"added_{share}_ms"] = routed["first_token_ms"][share] - direct["first_token_ms"][share]
        figures["answered"] = [routed["results"], direct["results"]]
        # About 150 open streams of 200 tokens per second each.
        vm = cluster.processes["vm0"]
        base_kb = resident_kb(vm)
        file = write_scenario(cluster.folder, "tokens", 4, 37, 2000, 50, 30)
        process, report = start_load(cluster, file)
        time.sleep(5)
        cpu_before, tokens_before, began = cpu_seconds(vm), cluster.engine_counters()["tokens"], time.time()
        time.sleep(4)
        cpu_used, tokens_relayed = cpu_seconds(vm) - cpu_before, cluster.engine_counters()["tokens"] - tokens_before
        streams = cluster.counters()["requests_in_flight"]
        figures["streams_open"] = streams
        figures["tokens_per_second"] = tokens_relayed / (time.time() - began)
        figures["cpu_share"] = cpu_used / (time.time() - began)
        figures["tokens_per_core_second"] = tokens_relayed / max(0.01, cpu_used)
        figures["kb_per_stream"] = (resident_kb(vm) - base_kb) / max(1, streams)
        process.wait()
    return figures


def agreement(vms, seconds=10, changes=12, base_port=None):
    """Returns the store calls, network bytes and CPU time of idle VMs, the time until a configuration is in force, and the time until a VM's
    failure is detected."""
    places = [f"place{i}" for i in range(3 if vms <= 20 else 8)]
    with Cluster(vms=vms, prefill=6, decode=12, bookings=3, places=places, base_port=base_port or 28000) as cluster:
        # The default port ranges of the VMs would overlap those of the engines.
        cluster.caller_address = lambda vm: f"127.0.0.1:{cluster.base_port + 1000 + cluster.vm_names.index(vm)}"
        cluster.peer_address = lambda vm: f"127.0.0.1:{cluster.base_port + 1500 + cluster.vm_names.index(vm)}"
        cluster.start()
        cluster.settle(5)
        platform_counters = lambda: call(cluster.platform, "GET", "/standin/counters")[1]
        before, store_before = cluster.counters(), platform_counters()
        cpu_before = [cpu_seconds(cluster.processes[vm]) for vm in cluster.vm_names]
        began = time.time()
        time.sleep(seconds)
        after, store_after = cluster.counters(), platform_counters()
        elapsed = time.time() - began
        cpu_after = [cpu_seconds(cluster.processes[vm]) for vm in cluster.vm_names]
        rate = lambda key: (after.get(key, 0) - before.get(key, 0)) / elapsed / vms
        figures = {
            "vms": vms,
            "sent_bytes_per_s": round(rate("peer_bytes_sent")),
            "received_bytes_per_s": round(rate("peer_bytes_received")),
            "messages_per_s": round(rate("peer_messages_sent"), 1),
            "store_writes_per_s": round((store_after.get("writes", 0) - store_before.get("writes", 0)) / elapsed, 2),
            "store_reads_per_s": round((store_after.get("reads", 0) - store_before.get("reads", 0)) / elapsed, 2),
            "cpu_share": round(statistics.mean((b - a) / elapsed for a, b in zip(cpu_before, cpu_after)), 4),
            "rss_mb": round(statistics.mean(resident_kb(cluster.processes[vm]) for vm in cluster.vm_names) / 1024, 1),
            "watches": after.get("config_watching", 0),
        }
        delays = []
        for number in range(changes):
            document = call(cluster.peer_address("vm0"), "GET", "/operator/config", None, OPERATOR_TOKEN)[1]
            document["limits"] = {"quarantine_s": 100 + number}
            accepted = cluster.submit(document, document["revision"], cluster.vm_names[number % vms])[1]["revision"]
            began = time.time()
            waiting = set(cluster.vm_names)
            while waiting and time.time() - began < 10:
                waiting = {vm for vm in waiting if call(cluster.caller_address(vm), "GET", "/readyz")[1]["revision"] < accepted}
            delays.append(time.time() - began)
        figures["in_force_p50_s"] = round(statistics.median(delays), 3)
        figures["in_force_max_s"] = round(max(delays), 3)
        dead = cluster.vm_names[-1]
        cluster.kill(dead)
        began = time.time()
        noticed = {}
        while len(noticed) < min(5, vms - 1) and time.time() - began < 60:
            for vm in cluster.vm_names[:min(5, vms - 1)]:
                states = {v["name"]: v["state"] for v in call(cluster.peer_address(vm), "GET", "/operator/status", None, OPERATOR_TOKEN)[1]["vms"]}
                if vm not in noticed and states.get(dead) == "dead":
                    noticed[vm] = time.time() - began
        figures["death_noticed_max_s"] = round(max(noticed.values()), 2) if noticed else None
        states = [v["state"] for v in call(cluster.peer_address("vm0"), "GET", "/operator/status", None, OPERATOR_TOKEN)[1]["vms"]]
        figures["alive_seen"] = states.count("alive")
        return figures


def micro(build):
    """Returns the CPU time of single decisions, from Google Benchmark."""
    result = subprocess.run([str(pathlib.Path(build) / "decisions-bench"), "--benchmark_format=json", "--benchmark_min_time=0.1"], capture_output=True, text=True, check=True)
    rows = []
    for entry in json.loads(result.stdout)["benchmarks"]:
        rows.append({"name": entry["name"], "ns": round(entry["cpu_time"]), **{k: round(entry[k]) for k in ("bytes", "text") if k in entry}})
    return rows
