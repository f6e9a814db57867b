"""Process tests of VMs of the released build beside VMs of the current one: in a roll forward and back, and in one that stops halfway."""

import asyncio
import collections
import contextlib
import itertools
import json
import os
import signal
import time

import version_tests
from partial_cut_tests import PartialCutRig, cut_from_some_engines, cut_while_streams_run
from quarantine_tests import assert_stopped, quarantine_poison_request, wait_until_peers_are_known
from relay_tests import events_of
from restore_tests import lines, until
from rig import PROGRAM, RELEASED, Rig, Skipped, call
from soak import DRAIN_LIMIT_S, Soak
from stranded_tests import DETECTION_S, KINDS, MEASURED_S, SERVED_SHARE, StrandedRig, assert_run_once, assert_served, repeat
from version_tests import begin_streams, take_up

CURRENT = PROGRAM
PROTOCOLS = {RELEASED: 4, CURRENT: 5}
IN_FORCE_S = 2.5  # from a change of the configuration until all VMs follow it
NOTICE_S = 1.0  # from SIGTERM until callers send a VM no new requests
GONE_S = 0.5  # from SIGKILL until callers send a VM no new requests
STOP_S = 8.0  # from SIGTERM until the end of a VM with a grace of 6 s
ROLLED_SHARE = 0.98  # of the requests at each VM that must be served while VMs are replaced
REPORTED_S = 1.0  # from the time when VMs know one another until each has read a report of all others
FEWEST_ANSWERS = 100  # of a VM, for this share
ANSWERS_S = 15.0  # in which callers must get them, after the roll
MIXED_S = 6.0
LEARNED_S = 4.0  # until VMs know one another, and a quarantine
SUCCESSION_S = 20.0
LARGE_FLEET = 18  # VMs; fleets of 16 or less exchange no aggregates
LOG_FLUSH_S = 1.2
RELAY_ENDS = ("request_answered", "relay_failed", "stream_aborted", "caller_gone", "request_given_up")
NEARER_VM_LEAD = 20  # requests in flight, 2 ms each, that make up for the 40 ms to a VM in another region
ONE_VERSION, TWO_VERSIONS = 6, 3  # seeds of runs with planned changes alone, and that many software versions of the engines


class Builds:
    """Starts each VM of a rig with its build of `builds`."""

    def __init__(self, builds, **options):
        if not os.path.exists(RELEASED):
            raise Skipped(f"there is no released build at {RELEASED}")
        super().__init__(vms=len(builds), **options)
        self.builds = {f"vm{number}": build for number, build in enumerate(builds)}

    def program_of(self, vm):
        return self.builds[vm.name]

    def vms_of(self, build):
        return [vm for vm in self.vms if self.builds[vm.name] == build]

    async def kill(self, vm):
        vm.signal(signal.SIGKILL)
        await vm.process.wait()

    async def wait_until_in_touch(self):
        await wait_until_peers_are_known(self)
        await asyncio.sleep(REPORTED_S)

    async def metrics(self, vm):
        """Returns the VM's metrics by name and labels; one that was never counted is missing."""
        text = (await call(vm.ip, vm.port + 9, "GET", "/metrics", {}, b""))[2].decode()
        found = (line.rpartition(" ") for line in text.splitlines() if line.startswith("currantstack_"))
        return {name.removeprefix("currantstack_"): float(value) for name, _, value in found}

    async def assert_understood(self):
        """Asserts that no VM ignored a message or an entry of another one."""
        await asyncio.sleep(LOG_FLUSH_S)
        for vm in self.vms:
            ignored = events_of(vm, "datagram_ignored") + events_of(vm, "entry_ignored")
            assert not ignored, (vm.name, ignored[:3])
        for vm in (vm for vm in self.vms if vm.process.returncode is None):
            metrics = await self.metrics(vm)
            counts = {name: metrics.get(name, 0) for name in ("datagrams_malformed", "datagram_rows_unknown")}
            assert not any(counts.values()), (vm.name, counts)


class MixedRig(Builds, Rig):
    """VMs of both builds."""


class MixedVersionRig(Builds, version_tests.MixedRig):
    """VMs of both builds, and engines of two software versions."""


class MixedStrandedRig(Builds, StrandedRig):
    """VMs of both builds, with links to the upstreams that can be cut."""


class MixedPartialCutRig(Builds, PartialCutRig):
    """Five VMs, of which two, of the released build, repeat what they read of others' exclusions."""

    def __init__(self):
        super().__init__([CURRENT, RELEASED, CURRENT, RELEASED, CURRENT])


class Roll(Builds, Soak):
    """VMs whose builds are replaced under the soak's callers, and the soak's checks."""

    def __init__(self, build, seed, vms=3):
        super().__init__(vms * [build], seed=seed)
        self.killed, self.broken = {}, []  # time of the SIGKILL, by VM; streams that it may have ended
        self.last_route = "check"

    @contextlib.asynccontextmanager
    async def callers(self):
        await self.wait_until_in_touch()
        tasks = [asyncio.create_task(self.caller()) for _ in range(4 * len(self.vms))]
        yield
        self.stopping = True
        await asyncio.gather(*tasks)

    async def replace(self, vm, build):
        vm.signal(signal.SIGTERM)
        await asyncio.sleep(NOTICE_S)
        vm.draining = True  # callers send it no new requests
        await asyncio.wait_for(vm.process.wait(), STOP_S)
        assert vm.process.returncode == 0, (vm.name, vm.process.returncode)
        await self.start(vm, build)

    async def start(self, vm, build):
        self.builds[vm.name] = build
        await vm.start()
        await vm.wait_until_ready()
        vm.draining = False
        status = (await self.send(self.last_route, vm))[1]
        assert status != 404, f"{vm.name} is ready without the configuration in force"

    async def kill_and_start(self, vm, build):
        vm.draining, self.killed[vm.name] = True, time.monotonic()
        self.broken += [stream for stream in self.returning if self.may_break(stream, vm)]
        with self.impairments.of(vm.name):
            await self.kill(vm)
            await self.start(vm, build)

    def may_break(self, stream, vm):
        """Returns whether the stream is open at this VM, or is being opened; if it is its caller's last attempt, it remains incomplete."""
        writer = stream.writer
        is_open = writer is not None and not writer.is_closing()
        return len(stream.numbers) < stream.EVENTS and (not is_open or writer.get_extra_info("peername")[0] == vm.ip)

    async def leave(self, upstream):
        """Drains the upstream, which ends later, and starts another incarnation."""
        upstream.drain()
        self.drains[upstream.id] = (time.monotonic(), self.store_faults)
        await asyncio.sleep(DRAIN_LIMIT_S + 1.5)
        await upstream.restart()

    async def change_configuration(self):
        """Publishes a route and asserts that all VMs that serve follow it in time."""
        name = self.last_route = f"late{self.fleet.version}"
        self.fleet.configure([{"name": name, "host": "app.example", "prefix": f"/{name}/", "type": "safe", "service": "booking",
                               "timeout_ms": 1000, "attempts": 2}])
        end = time.monotonic() + IN_FORCE_S

        async def follows(vm):
            with contextlib.suppress(EOFError, OSError, asyncio.TimeoutError):
                return (await self.send(name, vm, limit=1))[1] != 404
        for vm in self.vms:
            while not getattr(vm, "draining", False) and not await follows(vm):
                assert time.monotonic() < end, f"{vm.name} does not follow the configuration after {IN_FORCE_S} s"
                await asyncio.sleep(0.05)

    def assert_kept(self):
        """Asserts the soak's guarantees, and that only the death of a VM interrupted requests."""
        def is_excused(vm, begin):
            return vm in self.killed and begin < self.killed[vm] + GONE_S
        interrupted = [entry for entry in self.interrupted if not is_excused(entry[2], entry[3])]
        self.planned_only = self.planned_only and not self.killed  # interruptions are checked here
        violations = list(self.check())
        assert not interrupted and not violations, (self.folder, interrupted[:3], violations[:5])
        incomplete = [(stream.first_attempt, stream.numbers) for stream in self.returning
                      if len(stream.numbers) < stream.EVENTS and stream not in self.broken]
        assert not incomplete, incomplete[:3]

    def statuses_at(self, vm, since):
        return [status for request, _, status, _, _, begin in self.responses if begin >= since and self.vm_of[request] == vm.name]

    async def gather_answers(self, since=0.0):
        """Lets callers go on until each VM has given the fewest answers of which a share is asserted."""
        end = time.monotonic() + ANSWERS_S
        while time.monotonic() < end and any(len(self.statuses_at(vm, since)) <= FEWEST_ANSWERS for vm in self.vms):
            await asyncio.sleep(0.05)

    def assert_mostly_served(self, vms, since=0.0):
        for vm in vms:
            statuses = self.statuses_at(vm, since)
            assert len(statuses) > FEWEST_ANSWERS, (vm.name, len(statuses))
            assert statuses.count(200) >= ROLLED_SHARE * len(statuses), (vm.name, {status: statuses.count(status) for status in set(statuses)})


async def roll_there_and_back(seed):
    """Replaces the VMs of the released build one by one, and then those of the current build."""
    async with Roll(RELEASED, seed) as rig:
        async with rig.callers():
            for build in (CURRENT, RELEASED):
                for vm in rig.vms:
                    await asyncio.gather(rig.replace(vm, build), rig.change_configuration())
                    await rig.change_configuration()
            await rig.gather_answers()
        assert await rig.recover(), "not every VM serves requests after the roll"
        rig.assert_kept()
        rig.assert_mostly_served(rig.vms)
        await rig.assert_understood()


async def rolls_to_the_current_build_and_back_break_no_promise():
    await roll_there_and_back(ONE_VERSION)


async def rolls_amid_two_software_versions_break_no_promise():
    await roll_there_and_back(TWO_VERSIONS)


async def rolls_with_a_death_and_leaving_engines_break_no_promise():
    """A VM is killed halfway and comes back as the other build."""
    for former, build in ((RELEASED, CURRENT), (CURRENT, RELEASED)):
        async with Roll(former, ONE_VERSION) as rig:
            engine = rig.fleet.engines[-1]
            async with rig.callers():
                await asyncio.gather(rig.replace(rig.vms[0], build), rig.leave(engine), rig.change_configuration())
                await asyncio.gather(rig.kill_and_start(rig.vms[1], build), rig.leave(rig.fleet.services[0]))
                await asyncio.gather(rig.replace(rig.vms[2], build), rig.leave(engine), rig.change_configuration())
                await rig.change_configuration()
                await rig.gather_answers()
            assert await rig.recover(), "not every VM serves requests after the roll"
            rig.assert_kept()
            rig.assert_mostly_served(rig.vms)
            await rig.assert_understood()


async def cut_vm_serves_its_callers_while_the_others_are_rolled():
    for cut, former, build in ((CURRENT, RELEASED, CURRENT), (RELEASED, CURRENT, RELEASED)):
        async with Roll(former, ONE_VERSION, vms=4) as rig:
            await rig.replace(rig.vms[0], cut)
            async with rig.callers():
                rig.links.cut(rig.vms[0], "live_refuse")
                await asyncio.sleep(DETECTION_S)
                since = time.monotonic()
                for vm in rig.vms[1:]:
                    await rig.replace(vm, build)
                await rig.gather_answers(since)
                rig.links.heal(rig.vms[0])
            assert await rig.recover(), "not every VM serves requests after the roll"
            rig.assert_kept()
            rig.assert_mostly_served(rig.vms, since)
            await rig.assert_understood()


async def send_steadily(rig, vms, seconds):
    results, end = [], time.monotonic() + seconds
    await asyncio.gather(*(repeat(rig, vm, kind, end, results) for vm in vms for kind in KINDS))
    assert_run_once(rig, results)
    return results


def protocols_counted(metrics):
    """Returns how many VMs a VM counts by protocol, without protocols of none."""
    prefix = 'vms_by_protocol{protocol="'
    return {int(name.removeprefix(prefix).split('"')[0]): count for name, count in metrics.items() if name.startswith(prefix) and count}


def protocols_of(rig):
    return dict(collections.Counter(PROTOCOLS[rig.builds[vm.name]] for vm in rig.vms))


async def vms_of_both_builds_read_each_others_reports():
    """A roll that has stopped halfway, with two software versions of the engines."""
    async with MixedRig([RELEASED, CURRENT, RELEASED, CURRENT], decode=4) as rig:
        for number, engine in enumerate(rig.fleet.engines):
            engine.software_version = ("v1", "v2")[number % 2]
            engine.register()
        await rig.wait_until_in_touch()
        begin = time.monotonic()
        results = await send_steadily(rig, rig.vms, MIXED_S)
        assert_served(results, rig.vms, begin, SERVED_SHARE)
        await rig.assert_understood()
        for vm in rig.vms:
            metrics = await rig.metrics(vm)
            assert protocols_counted(metrics) == protocols_of(rig), (vm.name, metrics)
            logged = sorted(line["peer"] for line in events_of(vm, "peer_protocol"))
            others = sorted(other.name for other in rig.vms if PROTOCOLS[rig.builds[other.name]] != PROTOCOLS[rig.builds[vm.name]])
            assert logged == others, (vm.name, logged)
            assert metrics["vms_known"] == len(rig.vms) and metrics["datagrams_sent"] > 0, (vm.name, metrics)


async def vms_of_a_large_fleet_read_aggregates_of_the_other_build():
    """Places exchange aggregates in a fleet of this size; a released VM writes those of one place, a current VM those of the other."""
    builds = [(RELEASED, CURRENT)[(number + number // 2) % 2] for number in range(LARGE_FLEET)]
    async with MixedRig(builds) as rig:
        await rig.wait_until_in_touch()
        for place, service in enumerate(rig.fleet.services):
            service.limits = ["1000"]  # requests a second, many more than there are
            begin = time.monotonic()
            results = await send_steadily(rig, rig.vms[place::2][:4], LEARNED_S)
            assert_served(results, rig.vms[place::2][:4], begin, SERVED_SHARE)
            limited = {vm.name: (await rig.metrics(vm)).get('upstreams_limited{service="booking"}') for vm in rig.vms}
            assert set(limited.values()) == {place + 1.0}, limited
        for vm in rig.vms_of(CURRENT):
            metrics = await rig.metrics(vm)
            assert protocols_counted(metrics) == protocols_of(rig), (vm.name, metrics)
        await rig.assert_understood()


def relays_of(vm):
    """Returns what the VM logged for each request that it relayed, with `open`, the requests that it had in flight at each VM before."""
    found, at, seen = [], {}, set()
    for line in (json.loads(line) for line in vm.log_text().splitlines() if line.startswith("{")):
        request, event = line.get("request"), line["event"]
        if event == "request_relayed":
            at.pop(request, None)
            found.append({**line, "open": collections.Counter(at.values()), "is_first": request not in seen})
            assert found[-1]["open"][line["to"]] == line["in_flight"], found[-1]
            at[request] = line["to"]
            seen.add(request)
        elif event in RELAY_ENDS:
            at.pop(request, None)
    return found


async def serve_callers_of_a_cut_vm(builds):
    """Cuts the first VM off, and asserts that callers are served at all VMs; returns what it logged for each relayed request."""
    relayed = []
    for mode in ("refuse", "hang"):
        async with MixedStrandedRig(builds) as rig:
            await rig.wait_until_in_touch()
            cut_at = time.monotonic()
            rig.links.cut(rig.vms[0], mode)
            results = await send_steadily(rig, rig.vms, DETECTION_S + MEASURED_S)
            assert_served(results, rig.vms[1:], cut_at, SERVED_SHARE)
            assert_served(results, rig.vms[:1], cut_at + DETECTION_S, SERVED_SHARE)
            await rig.assert_understood()
            found = relays_of(rig.vms[0])
            assert found, "the VM that is cut off forwards no request"
            relayed += found
    return relayed


async def cut_vm_beside_released_vms_serves_its_callers():
    relayed = await serve_callers_of_a_cut_vm([CURRENT, RELEASED, RELEASED])
    assert all(line["reports_to_take_relays"] for line in relayed)  # as the released build does


async def cut_released_vm_serves_its_callers():
    await serve_callers_of_a_cut_vm([RELEASED, CURRENT, CURRENT])


async def cut_vm_asks_released_and_current_vms_alike():
    """The VM of the released build is the nearer one, and reports to take requests as the other one does."""
    relayed = await serve_callers_of_a_cut_vm([CURRENT, CURRENT, RELEASED])
    first = [line for line in relayed if line["is_first"]]

    def may_go_to(line):
        lead = line["open"]["vm2"] - line["open"]["vm1"]
        return {"vm2"} if lead < NEARER_VM_LEAD else {"vm1", "vm2"} if lead == NEARER_VM_LEAD else {"vm1"}
    others = [line for line in first if not line["reports_to_take_relays"] or line["to"] not in may_go_to(line)]
    assert not others, (len(others), len(first), others[:2])


async def engines_that_refuse_one_vm_are_used_beside_released_vms():
    await cut_from_some_engines("refuse", MixedPartialCutRig)


async def engines_that_refuse_one_vm_do_not_count_as_crashed_beside_released_vms():
    """Guards against a VM's own notice that counts as what a second VM has found, since idle released VMs repeat it."""
    await cut_while_streams_run("refuse", MixedPartialCutRig, slice(1))


async def holding(rig):
    """Returns the VMs that hold the orders."""
    running = [vm for vm in rig.vms if vm.process.returncode is None]
    return [vm for vm in running if (await rig.metrics(vm)).get("order_holder")]


async def orders_pass_between_builds():
    """Guards against two holders, or none, because a build does not read the key that the other one wrote."""
    async with MixedRig([RELEASED, CURRENT], prefill=4, decode=2) as rig:
        for engine in rig.fleet.engines:
            engine.EVENT_INTERVAL_S = 0.06  # long streams need more than two decode engines of six

        async def one_holder(besides=None):
            end = time.monotonic() + SUCCESSION_S
            while not (found := [vm for vm in await holding(rig) if vm is not besides]):
                assert time.monotonic() < end, "no VM holds the orders"
                await asyncio.gather(*(rig.send("stream", vm, limit=15) for vm in rig.vms if vm.process.returncode is None))
            return found[0]
        holder = await one_holder()
        for _ in range(2):
            await rig.kill(holder)
            successor = await one_holder()
            assert successor is not holder
            await holder.start()
            await holder.wait_until_ready()
            for _ in range(10):
                await asyncio.gather(*(rig.send("stream", vm, limit=15) for vm in rig.vms))
                assert await holding(rig) == [successor], [vm.name for vm in await holding(rig)]
            holder = successor
        await rig.assert_understood()
        won = [(line["vm"], line["fence"]) for line in lines(rig, "holder_won")]
        assert len(won) == 3 and won[0][0] != won[1][0] != won[2][0], won
        assert won[0][1] < won[1][1] < won[2][1], won
        orders = [(entry["fence"], entry["holder"]) for entry in rig.fleet.history if entry["event"] == "order"]
        assert orders and orders == sorted(orders, key=lambda order: order[0]) and set(orders) <= {(fence, vm) for vm, fence in won}, (orders, won)


async def quarantine_holds_at_both_builds():
    """Once as one build reports it to the other, and once as all VMs read it after they have come back as the other build."""
    for builds in ([RELEASED, CURRENT], [CURRENT, RELEASED]):
        async with MixedRig(builds, services=4) as rig:
            await rig.wait_until_in_touch()
            await quarantine_poison_request(rig, rig.vms[:1])
            await asyncio.sleep(LEARNED_S)
            await assert_stopped(rig, rig.vms)
            for swapped in (builds[::-1], [builds[0]] * 2):
                rig.builds = dict(zip(rig.builds, swapped))
                await asyncio.gather(*(rig.kill(vm) for vm in rig.vms))
                await asyncio.gather(*(vm.start() for vm in rig.vms))
                await asyncio.gather(*(vm.wait_until_ready() for vm in rig.vms))
                await assert_stopped(rig, rig.vms)
            await rig.assert_understood()


async def quarantine_of_the_other_build_is_read_from_the_store():
    """The VMs cannot reach one another."""
    for builds in ([RELEASED, CURRENT], [CURRENT, RELEASED]):
        async with MixedRig(builds, services=4, hidden_prefix="currantstack/vms/") as rig:
            await quarantine_poison_request(rig, rig.vms[:1])
            await asyncio.sleep(LEARNED_S)
            assert not events_of(rig.vms[1], "peer_heard"), "the VMs are not cut off from one another"
            await assert_stopped(rig, rig.vms[1:])


async def streams_of_a_killed_vm_go_on_at_vms_of_the_other_build():
    """Each stream keeps its software version, of which the VM that was killed has told the others."""
    for builds in ([RELEASED, CURRENT, CURRENT], [CURRENT, RELEASED, RELEASED]):
        async with MixedVersionRig(builds) as rig:
            await rig.wait_until_in_touch()
            streams = await begin_streams(rig, rig.vms[0], 12)
            await rig.kill(rig.vms[0])
            statuses = await take_up(streams, rig.vms[1:])
            assert statuses == 12 * [200], statuses
            assert all(stream.numbers == list(range(1, stream.EVENTS + 1)) for stream in streams)
            await rig.assert_understood()


async def restarted_vms_know_those_of_the_other_build():
    """The VMs that restart learn the addresses of the others from the entries that these have written."""
    async with MixedRig([RELEASED, RELEASED, CURRENT, CURRENT]) as rig:
        for build in (RELEASED, CURRENT):
            await rig.wait_until_in_touch()
            for vm in rig.vms_of(build):
                await rig.kill(vm)
                await vm.start()
                await vm.wait_until_ready()
        await rig.wait_until_in_touch()
        await rig.assert_understood()


TESTS = [rolls_to_the_current_build_and_back_break_no_promise, rolls_amid_two_software_versions_break_no_promise,
         rolls_with_a_death_and_leaving_engines_break_no_promise, cut_vm_serves_its_callers_while_the_others_are_rolled, vms_of_both_builds_read_each_others_reports,
         vms_of_a_large_fleet_read_aggregates_of_the_other_build,
         cut_vm_beside_released_vms_serves_its_callers, cut_released_vm_serves_its_callers,
         cut_vm_asks_released_and_current_vms_alike, engines_that_refuse_one_vm_are_used_beside_released_vms,
         engines_that_refuse_one_vm_do_not_count_as_crashed_beside_released_vms, orders_pass_between_builds, quarantine_holds_at_both_builds,
         quarantine_of_the_other_build_is_read_from_the_store, streams_of_a_killed_vm_go_on_at_vms_of_the_other_build, restarted_vms_know_those_of_the_other_build]
