"""Checks of a recorded history. Each returns a list of messages, one for each violation."""


def check_submissions(history, audit_log):
    """Checks that configuration changes are linearizable: accepted ones have unique revisions in real-time order and are all in the audit
    log, and refused ones are not. Changes with an unknown outcome may be in it."""
    violations = []
    submits = history.of_kind("submit")
    accepted = [s for s in submits if s["result"] == "accepted"]
    by_revision = {}
    for submit in accepted:
        if submit["revision"] in by_revision:
            violations.append(f"revision {submit['revision']} was accepted twice: {by_revision[submit['revision']]} and {submit['submission']}")
        by_revision[submit["revision"]] = submit["submission"]
    recorded = {entry["revision"]: entry["submission"] for entry in audit_log}
    if sorted(recorded) != list(range(1, len(recorded) + 1)):
        violations.append(f"the audit log has gaps: {sorted(recorded)}")
    for revision, submission in by_revision.items():
        if recorded.get(revision) != submission:
            violations.append(f"{submission} was accepted as {revision}, but the audit log says {recorded.get(revision)}")
    logged = set(recorded.values())
    for submit in submits:
        if submit["result"] == "refused" and submit["submission"] in logged:
            violations.append(f"{submit['submission']} was refused, but is in the audit log")
    ordered = sorted(accepted, key=lambda s: s["end"])
    for first in ordered:
        for second in accepted:
            if first["end"] < second["begin"] and first["revision"] >= second["revision"]:
                violations.append(f"{second['submission']} began after {first['submission']} ended, but has no higher revision")
    return violations


def check_revisions(history):
    """Checks that no process ever goes back to a lower revision."""
    violations = []
    highest = {}
    for event in sorted(history.of_kind("revision"), key=lambda e: e["end"]):
        key = (event["vm"], event["process"])
        before = highest.get(key, (0, 0))
        if event["revision"] < before[0] and event["begin"] > before[1]:
            violations.append(f"{event['vm']} went from revision {before[0]} to {event['revision']} at {event['end']:.2f} s")
        if event["revision"] > before[0]:
            highest[key] = (event["revision"], event["end"])
    return violations


def delays_in_force(history, outages):
    """Returns the seconds from the acceptance of each change until it was in force, for each VM that was up for the 8 s after the change.
    The delay is infinite if the VM never reported the revision. `outages` holds for each VM the spans in which it was down."""
    delays = []
    revisions = history.of_kind("revision")
    last = max((e["end"] for e in revisions), default=0)
    for submit in history.of_kind("submit"):
        if submit["result"] != "accepted":
            continue
        for vm in outages:
            was_down = any(begin < submit["end"] + 8 and end > submit["begin"] for begin, end in outages[vm])
            seen = [e["end"] for e in revisions if e["vm"] == vm and e["revision"] >= submit["revision"]]
            if was_down or (not seen and last < submit["end"] + 8):
                continue
            delays.append(max(0.0, (min(seen) if seen else float("inf")) - submit["end"]))
    return delays


def check_in_force(history, outages, limit_s):
    """Checks that accepted changes are in force within the limit."""
    late = [d for d in delays_in_force(history, outages) if d > limit_s]
    return [f"a change was in force {delay:.2f} s after it was accepted" for delay in late]


def check_bookings(history, runs):
    """Checks that a booking runs at most once, exactly once if it was answered, and never if each attempt was refused as not run."""
    violations = []
    attempts = {}
    for event in history.of_kind("booking"):
        attempts.setdefault(event["booking"], []).append(event)
    for booking, events in attempts.items():
        count = runs.get(booking, 0)
        if count > 1:
            violations.append(f"{booking} ran {count} times")
        if any(e["result"] == "answered" for e in events) and count != 1:
            violations.append(f"{booking} was answered but ran {count} times")
        if all(e["result"] == "refused" and e["ran"] == "no" for e in events) and count != 0:
            violations.append(f"{booking} was refused as not run, but ran")
        if any(e["result"] == "wrong" for e in events):
            violations.append(f"{booking} got another booking's answer")
    return violations


def check_answers(outcomes):
    """Checks that no answer is wrong, or truncated but marked as complete."""
    return [f"an answer of {o['stream']} that arrived at {o['arrived_s']:.2f} s was wrong" for o in outcomes if o["result"] == "wrong"]


def check_finished(outcomes):
    """Checks that each request ended: it was answered or refused, or its connection broke when its VM failed."""
    return [f"a request of {o['stream']} at {o['arrived_s']:.2f} s never ended" for o in outcomes if o["result"] == "unfinished"]


def check_held(held):
    """Checks that no engine is occupied by requests that have ended."""
    return [f"{engine} still holds the requests {ids}" for engine, ids in held.items()]
