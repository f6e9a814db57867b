"""Runs scenarios against real processes, one policy and seed at a time, and compares policies."""

import json
import random
import signal
import statistics
import subprocess
import threading
import time

from cluster import Cluster

ENGINE = {"slots": 20, "prefill_overhead_ms": 4, "prefill_us_per_token": 30, "step_base_ms": 8, "step_per_request_ms": 0.5}
POLICIES = ["random", "round-robin", "least-load", "two-choices", "ledger"]


def mean_prompt(spec):
    """Mean of the cut log-normal distribution, by quantiles."""
    spec = {"median": 900, "sigma": 0.9, "min": 20, "max": 20000, **spec}
    normal = statistics.NormalDist()
    draws = [spec["median"] * 2.718281828 ** (spec["sigma"] * normal.inv_cdf((i + 0.5) / 2000)) for i in range(2000)]
    return sum(min(max(d, spec["min"]), spec["max"]) for d in draws) / len(draws)


def capacity_of(scenario, prefill, decode):
    """Requests a second that the engines can serve at most, for the mix of the scenario's model streams."""
    prefill_ms, slot_ms, weight = 0.0, 0.0, 0.0
    for stream in scenario["streams"]:
        if stream.get("kind", "model") != "model":
            continue
        share = statistics.mean(point[1] for point in stream["load"])
        tokens = mean_prompt(stream.get("prompt_tokens", {}))
        prefix = stream.get("prefix", {})
        fresh = tokens - prefix.get("share", 0) * min(prefix.get("tokens", 0), tokens)
        output = stream.get("output_tokens", {"min": 20, "max": 180})
        prefill_ms += share * (ENGINE["prefill_overhead_ms"] + fresh * ENGINE["prefill_us_per_token"] / 1000)
        slot_ms += share * (output["min"] + output["max"]) / 2 * (ENGINE["step_base_ms"] + ENGINE["step_per_request_ms"] * ENGINE["slots"])
        weight += share
    return min(1000 * prefill / (prefill_ms / weight), 1000 * decode * ENGINE["slots"] / (slot_ms / weight))


def bound_of(arrivals, capacity, seconds):
    """Requests that can meet the targets at most: those that arrived, but no more than capacity at any time."""
    step, good, backlog = 0.1, 0.0, 0.0
    counts = [0] * (int(seconds / step) + 2)
    for at in arrivals:
        counts[int(at / step)] += 1
    for count in counts:
        served = min(backlog + count, capacity * step)
        good += served
        backlog = min(backlog + count - served, 1.7 * capacity)  # what waits longer than the target cannot be good any more
    return good + backlog


class Faults(threading.Thread):
    """Injects the scenario's faults at their times."""

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
    with open(f"/proc/{process.pid}/stat") as file:
        fields = file.read().rsplit(") ", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / 100


def run_once(file, policy, seed, vms=7, prefill=6, decode=12, bookings=3, base_port=21000, outcomes=None, keep=False):
    """Runs one scenario once; returns the load's report with the engines' and the VMs' counters."""
    with Cluster(vms=vms, prefill=prefill, decode=decode, bookings=bookings, policy=policy, engine_defaults=ENGINE, seed=seed, base_port=base_port) as cluster:
        scenario = json.loads(subprocess.run([str(cluster.build / "currant-load"), file, "--show"], capture_output=True, check=True).stdout)
        capacity = capacity_of(scenario, prefill, decode)
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
        listed = json.loads(open(outcome_file).read())
        crest = scenario.get("crest", [[0, scenario["seconds"]]])
        at_crest = [o for o in listed if o["kind"] == "service" and any(a <= o["arrived_s"] < b for a, b in crest)]
        models = [o for o in listed if o["kind"] == "model"]
        report["bound"] = bound_of([o["arrived_s"] for o in models], capacity, scenario["seconds"])
        firsts = sorted(o["first_token_ms"] for o in models if o["result"] == "answered")
        times = sorted(o["total_ms"] for o in at_crest if o["result"] == "answered")
        pick = lambda values, share: values[min(len(values) - 1, int(share * len(values)))] if values else 0.0
        prefilled = engines.get("prefill_tokens", 0)
        report["figures"] = {
            "offered": len(models),
            "goodput_of_bound": sum(o["good"] for o in models) / max(1.0, report["bound"]),
            "good": sum(o["good"] for o in models),
            "late_first": sum(o["result"] == "answered" and o["first_token_ms"] > 1700 for o in models),
            "late_gaps": sum(o["result"] == "answered" and o["first_token_ms"] <= 1700 and not o["good"] for o in models),
            "refused": sum(o["result"] == "refused" for o in models),
            "broken": sum(o["result"] in ("broken", "wrong", "unfinished") for o in models),
            "wasted_prefill": engines.get("prefill_tokens_wasted", 0) / max(1, prefilled),
            "crest_served": sum(o["good"] for o in at_crest) / max(1, len(at_crest)),
            "crest_p99_ms": pick(times, 0.99),
            "first_p50_ms": pick(firsts, 0.5),
            "first_p99_ms": pick(firsts, 0.99),
            "held_after": report["held"],
            "moved": counters.get("streams_moved", 0),
            "retries": counters.get("retries", 0),
            "repeated_prefill": sum(v for k, v in counters.items() if k.startswith("prefill_tokens_repeated")) / max(1, prefilled),
        }
        return report


def table(reports):
    """Returns a Markdown table of policies, averaged over seeds, with the spread of goodput."""
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
