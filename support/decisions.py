"""Runs load scenarios against real processes, one placement policy and seed at a time, and compares the policies."""

import json
import random
import statistics
import subprocess
import threading
import time

from cluster import Cluster

ENGINE = {"slots": 20, "prefill_overhead_ms": 4, "prefill_us_per_token": 30, "step_base_ms": 8, "step_per_request_ms": 0.5}
FIRST_TOKEN_TARGET_MS = 1700  # as in the scenarios
POLICIES = ["random", "round-robin", "least-load", "two-choices", "ledger"]


def mean_prompt_tokens(spec):
    """Returns the mean of a log-normal distribution clamped to [min, max], estimated from 2000 quantiles."""
    spec = {"median": 900, "sigma": 0.9, "min": 20, "max": 20000, **spec}
    normal = statistics.NormalDist()
    quantiles = [spec["median"] * 2.718281828 ** (spec["sigma"] * normal.inv_cdf((i + 0.5) / 2000)) for i in range(2000)]
    return sum(min(max(q, spec["min"]), spec["max"]) for q in quantiles) / len(quantiles)


def max_request_rate(scenario, prefill, decode):
    """Returns the requests per second that the engines can serve at most, for the mix of the scenario's model streams."""
    prefill_ms, slot_ms, total_share = 0.0, 0.0, 0.0
    for stream in scenario["streams"]:
        if stream.get("kind", "model") != "model":
            continue
        share = statistics.mean(point[1] for point in stream["load"])
        tokens = mean_prompt_tokens(stream.get("prompt_tokens", {}))
        prefix = stream.get("prefix", {})
        uncached = tokens - prefix.get("share", 0) * min(prefix.get("tokens", 0), tokens)
        output = stream.get("output_tokens", {"min": 20, "max": 180})
        prefill_ms += share * (ENGINE["prefill_overhead_ms"] + uncached * ENGINE["prefill_us_per_token"] / 1000)
        slot_ms += share * (output["min"] + output["max"]) / 2 * (ENGINE["step_base_ms"] + ENGINE["step_per_request_ms"] * ENGINE["slots"])
        total_share += share
    return min(1000 * prefill / (prefill_ms / total_share), 1000 * decode * ENGINE["slots"] / (slot_ms / total_share))


def max_good_requests(arrivals, capacity, seconds):
    """Returns how many requests can meet the targets at most. `capacity` is in requests per second; `arrivals` are in seconds."""
    step_s, good, backlog = 0.1, 0.0, 0.0
    counts = [0] * (int(seconds / step_s) + 2)
    for at in arrivals:
        counts[int(at / step_s)] += 1
    for count in counts:
        served = min(backlog + count, capacity * step_s)
        good += served
        backlog = min(backlog + count - served, FIRST_TOKEN_TARGET_MS / 1000 * capacity)  # requests beyond that miss the target
    return good + backlog


class Faults(threading.Thread):
    """Thread that injects the scenario's faults at their times."""

    def __init__(self, cluster, scenario, seed):
        super().__init__(daemon=True)
        self.cluster = cluster
        self.random = random.Random(seed)
        self.plan = []
        for fault in scenario.get("faults", []):
            at = fault.get("from_s", 0)
            while at < scenario["seconds"]:
                self.plan.append((at, fault))
                if "every_s" not in fault:
                    break
                at += fault["every_s"]
        self.plan.sort(key=lambda entry: entry[0])

    def run(self):
        begin = time.time()
        for at, fault in self.plan:
            time.sleep(max(0, begin + at - time.time()))
            try:
                self.inject(fault)
            except OSError:
                pass

    def inject(self, fault):
        if fault["kind"] == "kill_vm":
            vm = self.random.choice(self.cluster.vm_names[1:])
            self.cluster.kill(vm)
            threading.Timer(fault.get("down_s", 3), lambda: self.cluster.start_vm(vm)).start()
            return
        engines = [e["name"] for e in self.cluster.engines if fault.get("role") in (None, e["role"])]
        count = fault.get("count") or max(1, round(fault["share"] * len(engines)))
        for engine in self.random.sample(engines, count):
            try:
                self.cluster.inject_fault(engine, **{k: fault[k] for k in ("kind", "factor", "duration_ms") if k in fault})
            except OSError:
                pass


def cpu_seconds(process):
    """Returns the user and system time of a process, at 100 clock ticks per second."""
    with open(f"/proc/{process.pid}/stat") as file:
        fields = file.read().rsplit(") ", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / 100


def run_once(file, policy, seed, vms=7, prefill=6, decode=12, bookings=3, base_port=21000, outcomes=None, keep=False):
    """Runs one scenario once; returns the load generator's report with the counters of engines and VMs and the figures of the run."""
    with Cluster(vms=vms, prefill=prefill, decode=decode, bookings=bookings, policy=policy, engine_defaults=ENGINE, seed=seed, base_port=base_port) as cluster:
        scenario = json.loads(subprocess.run([str(cluster.build / "currant-load"), file, "--show"], capture_output=True, check=True).stdout)
        capacity = max_request_rate(scenario, prefill, decode)
        cluster.start(shards=2)
        cluster.settle()
        faults = Faults(cluster, scenario, seed)
        report_file = cluster.folder / "report.json"
        command = [str(cluster.build / "currant-load"), file, "--capacity", f"{capacity:.3f}", "--seed", str(seed), "--json", str(report_file)]
        outcome_file = outcomes or cluster.folder / "outcomes.json"
        command += ["--outcomes", str(outcome_file)]
        for vm in cluster.vm_names:
            command += ["--target", cluster.caller_address(vm)]
        faults.start()
        before = {vm: cpu_seconds(cluster.processes[vm]) for vm in cluster.vm_names}
        subprocess.run(command, check=True, timeout=scenario["seconds"] + 60)
        report = json.loads(report_file.read_text())
        cluster.settle(1)
        counters, engines = cluster.counters(), cluster.engine_counters()
        report["policy"] = policy
        report["vms"] = counters
        report["engines"] = engines
        report["cpu_share"] = statistics.mean((cpu_seconds(cluster.processes[vm]) - before[vm]) / (scenario["seconds"] + 10) for vm in cluster.vm_names[:1])
        report["held"] = sum(len(ids) for ids in cluster.held_requests().values())
        requests = json.loads(open(outcome_file).read())
        peaks = scenario.get("crest", [[0, scenario["seconds"]]])
        at_peak = [o for o in requests if o["kind"] == "service" and any(a <= o["arrived_s"] < b for a, b in peaks)]
        models = [o for o in requests if o["kind"] == "model"]
        report["bound"] = max_good_requests([o["arrived_s"] for o in models], capacity, scenario["seconds"])
        first_token_ms = sorted(o["first_token_ms"] for o in models if o["result"] == "answered")
        booking_ms = sorted(o["total_ms"] for o in at_peak if o["result"] == "answered")
        percentile = lambda values, share: values[min(len(values) - 1, int(share * len(values)))] if values else 0.0
        prefilled = engines.get("prefill_tokens", 0)
        report["figures"] = {
            "offered": len(models),
            "goodput_of_bound": sum(o["good"] for o in models) / max(1.0, report["bound"]),
            "good": sum(o["good"] for o in models),
            "late_first": sum(o["result"] == "answered" and o["first_token_ms"] > FIRST_TOKEN_TARGET_MS for o in models),
            "late_gaps": sum(o["result"] == "answered" and o["first_token_ms"] <= FIRST_TOKEN_TARGET_MS and not o["good"] for o in models),
            "refused": sum(o["result"] == "refused" for o in models),
            "broken": sum(o["result"] in ("broken", "wrong", "unfinished") for o in models),
            "wasted_prefill": engines.get("prefill_tokens_wasted", 0) / max(1, prefilled),
            "crest_served": sum(o["good"] for o in at_peak) / max(1, len(at_peak)),
            "crest_p99_ms": percentile(booking_ms, 0.99),
            "first_p50_ms": percentile(first_token_ms, 0.5),
            "first_p99_ms": percentile(first_token_ms, 0.99),
            "held_after": report["held"],
            "moved": counters.get("streams_moved", 0),
            "retries": counters.get("retries", 0),
            "repeated_prefill": sum(v for k, v in counters.items() if k.startswith("prefill_tokens_repeated")) / max(1, prefilled),
        }
        return report


def table(reports):
    """Returns a Markdown table of policies, averaged over seeds, with the range of goodput over the seeds."""
    lines = ["| scenario | policy | goodput of bound | spread | late first | late gaps | refused | broken | wasted prefill | crest bookings served | crest p99 ms | first p99 ms |",
             "|---|---|---|---|---|---|---|---|---|---|---|---|"]
    groups = {}
    for report in reports:
        groups.setdefault((report["scenario"], report["policy"]), []).append(report["figures"])
    for (scenario, policy), figures in groups.items():
        mean = lambda key: statistics.mean(f[key] for f in figures)
        spread = max(f["goodput_of_bound"] for f in figures) - min(f["goodput_of_bound"] for f in figures)
        lines.append(f"| {scenario} | {policy} | {mean('goodput_of_bound'):.3f} | {spread:.3f} | {mean('late_first'):.0f} | {mean('late_gaps'):.0f} | "
                     f"{mean('refused'):.0f} | {mean('broken'):.1f} | {mean('wasted_prefill'):.2%} | {mean('crest_served'):.2%} | "
                     f"{mean('crest_p99_ms'):.0f} | {mean('first_p99_ms'):.0f} |")
    return "\n".join(lines)
