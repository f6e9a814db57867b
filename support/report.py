"""Prints the tables of docs/BENCHMARKS.md from the JSON files that `support/bench decisions --json` writes.

  python3 support/report.py FILE ...
"""

import json
import pathlib
import statistics
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

import decisions  # noqa: E402

SCENARIO_ORDER = ["steady", "calm", "swing", "stragglers", "failures", "prefixes", "flood", "everything"]


def main():
    reports = {}
    for file in sys.argv[1:]:
        for report in json.loads(pathlib.Path(file).read_text()):
            reports[(report["scenario"], report["policy"], report["seed"])] = report
    ordered = sorted(reports.values(), key=lambda r: (SCENARIO_ORDER.index(r["scenario"]), decisions.POLICIES.index(r["policy"]), r["seed"]))
    print(decisions.table(ordered))
    print()
    print("| scenario | ledger | best baseline | ratio |")
    print("|---|---|---|---|")
    for scenario in SCENARIO_ORDER:
        means = {}
        for policy in decisions.POLICIES:
            values = [r["figures"]["goodput_of_bound"] for r in ordered if r["scenario"] == scenario and r["policy"] == policy]
            if values:
                means[policy] = statistics.mean(values)
        ledger = means.pop("ledger", None)
        if ledger and means:
            best = max(means, key=means.get)
            print(f"| {scenario} | {ledger:.3f} | {means[best]:.3f} ({best}) | {ledger / means[best]:.2f} |")


if __name__ == "__main__":
    main()
