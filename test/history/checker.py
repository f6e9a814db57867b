"""Checks of a recorded history. Each returns the violations that it found, as sentences."""


def check_submissions(history, trail):
    """Accepted changes are linearizable: unique revisions in real-time order, and the trail holds exactly those accepted or unknown."""
    faults = []
    submits = history.of("submit")
    accepted = [s for s in submits if s["result"] == "accepted"]
    by_revision = {}
    for submit in accepted:
        if submit["revision"] in by_revision:
            faults.append(f"revision {submit['revision']} was accepted twice: {by_revision[submit['revision']]} and {submit['submission']}")
        by_revision[submit["revision"]] = submit["submission"]
    recorded = {entry["revision"]: entry["submission"] for entry in trail}
    if sorted(recorded) != list(range(1, len(recorded) + 1)):
        faults.append(f"the trail has gaps: {sorted(recorded)}")
    for revision, submission in by_revision.items():
        if recorded.get(revision) != submission:
            faults.append(f"{submission} was accepted as {revision}, but the trail says {recorded.get(revision)}")
    in_trail = set(recorded.values())
    for submit in submits:
        if submit["result"] == "refused" and submit["submission"] in in_trail:
            faults.append(f"{submit['submission']} was refused but is in the trail")
    ordered = sorted(accepted, key=lambda s: s["end"])
    for first in ordered:
        for second in accepted:
            if first["end"] < second["begin"] and first["revision"] >= second["revision"]:
                faults.append(f"{second['submission']} began after {first['submission']} ended, but has no higher revision")
    return faults


def check_revisions(history):
    """No process goes to a lower revision."""
    faults = []
    highest = {}
    for event in sorted(history.of("revision"), key=lambda e: e["end"]):
        key = (event["vm"], event["process"])
        before = highest.get(key, (0, 0))
        if event["revision"] < before[0] and event["begin"] > before[1]:
            faults.append(f"{event['vm']} went from revision {before[0]} to {event['revision']} at {event['end']:.2f} s")
        if event["revision"] > before[0]:
            highest[key] = (event["revision"], event["end"])
    return faults


def delays_in_force(history, excused):
    """Returns for each accepted change and each VM that was there all along how long it took to be in force."""
    delays = []
    revisions = history.of("revision")
    last = max((e["end"] for e in revisions), default=0)
    for submit in history.of("submit"):
        if submit["result"] != "accepted":
            continue
        for vm in excused:
            away = any(begin < submit["end"] + 8 and end > submit["begin"] for begin, end in excused[vm])
            seen = [e["end"] for e in revisions if e["vm"] == vm and e["revision"] >= submit["revision"]]
            if away or (not seen and last < submit["end"] + 8):
                continue
            delays.append(max(0.0, (min(seen) if seen else float("inf")) - submit["end"]))
    return delays


def check_in_force(history, excused, limit):
    late = [d for d in delays_in_force(history, excused) if d > limit]
    return [f"a change was in force {delay:.2f} s after it was accepted" for delay in late]


def check_bookings(history, runs):
    """Each key runs at most once; an answer means one run; where every try was refused as not run, there was none."""
    faults = []
    tries = {}
    for event in history.of("booking"):
        tries.setdefault(event["booking"], []).append(event)
    for booking, events in tries.items():
        count = runs.get(booking, 0)
        if count > 1:
            faults.append(f"{booking} ran {count} times")
        if any(e["result"] == "answered" for e in events) and count != 1:
            faults.append(f"{booking} was answered but ran {count} times")
        if all(e["result"] == "refused" and e["ran"] == "no" for e in events) and count != 0:
            faults.append(f"{booking} was refused as not run, but ran")
        if any(e["result"] == "wrong" for e in events):
            faults.append(f"{booking} got another's answer")
    return faults


def check_answers(outcomes):
    """No caller gets a wrong answer, and none gets a part for the whole."""
    return [f"an answer of {o['stream']} that arrived at {o['arrived_s']:.2f} s was wrong" for o in outcomes if o["result"] == "wrong"]


def check_finished(outcomes):
    """Every request ends: answered, refused, or broken with its VM."""
    return [f"a request of {o['stream']} at {o['arrived_s']:.2f} s never ended" for o in outcomes if o["result"] == "unfinished"]


def check_held(held):
    return [f"{engine} still holds {ids}" for engine, ids in held.items()]
