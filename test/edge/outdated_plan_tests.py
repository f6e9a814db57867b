"""Process tests of requests whose upstream leaves between its choice and the call."""

import asyncio
import json
import time

from leaving_tests import arrivals, load, reserved_engine
from rig import Rig
from stranded_tests import START_S

from platform_upstreams import Engine  # noqa: E402

HEARD_S = 1.0  # after a change of an entry, each VM knows of it
PROMPT_TOKENS = 3000
PREFILL_S = 2.0  # of a slow engine; a VM waits about 2.3 s for the prefill of a request that it may not repeat
ORDER_S = 20.0  # until the order holder has seen enough streams to change roles; orders follow one second after their announcement
SLOW_EVENT_INTERVAL_S = 0.06  # long streams need more than two decode engines of six
SLOW_RESERVATION_S = 0.4  # a VM waits 0.5 s for it


class PlanRig(Rig):
    """Has one prefill engine, which becomes slow after the VMs have learned its speed."""

    async def __aenter__(self):
        await super().__aenter__()
        for vm in self.vms:
            for _ in range(2):
                await self.send("stream", vm)
        return self

    def start_digest(self, vm=None):
        for engine in self.fleet.engines:
            if engine.role == "prefill":
                engine.PREFILL_TOKENS_PER_MS = PROMPT_TOKENS / PREFILL_S / 1000
        return asyncio.create_task(self.send("digest", vm, headers={"Token-Count": f"{PROMPT_TOKENS},100"}))


def drain(engine):
    engine.drain()


def remove_entry(engine):
    engine.store.delete(f"servers/{engine.id}")


def restart_under_the_id(engine):
    engine.started_ms += 5000
    engine.handles, engine.holds = {}, {}
    engine.register()


def assert_prevented(rig, way, reason):
    text = "".join(vm.log_text() for vm in rig.vms)
    expected = [line for line in text.splitlines() if '"event":"send_prevented"' in line and f'"way":"{way}"' in line and f'"reason":"{reason}"' in line]
    assert expected, [line for line in text.splitlines() if '"event":"send_prevented"' in line]


async def prefilled_prompt_goes_to_another_engine_if_the_entry_of_its_decode_engine_changes():
    """Guards against a stream that goes to the decode engine of its plan, which has left while a slow engine read the prompt."""
    for change, reason in ((drain, "draining"), (remove_entry, "removed"), (restart_under_the_id, "replaced")):
        async with PlanRig(prefill=1, decode=2, services=1) as rig:
            sent = time.monotonic()
            slow = rig.start_digest()
            engine = await reserved_engine(rig, sent)
            change(engine)
            changed_at = time.monotonic()
            request, status, _, body = await slow
            arrived = [entry["at"] for entry in arrivals(rig, engine, sent) if entry["request"] == request]
            # The new process is an engine like others, but needs a reservation of its own.
            reserved = [entry["at"] for entry in rig.fleet.history
                        if entry["event"] == "called" and entry["target"] == "/hold-take" and entry["upstream"] == engine.id and entry["at"] > changed_at]
            assert not arrived or (change == restart_under_the_id and reserved and reserved[0] < arrived[0]), f"the stream went to an engine: {reason}"
            assert status == 200 and len(rig.runs_of(request)) == 1 and b"id: 12" in body, (reason, status)
            assert len([entry for entry in rig.fleet.history if entry["event"] == "prompt_read" and entry["request"] == request]) == 1, \
                "the prompt was read again although its KV cache was kept"
            assert_prevented(rig, "decode", reason)
            await asyncio.sleep(0.1)


async def engine_that_leaves_before_its_order_gets_none():
    """Guards against an order to change its role that an engine gets after the order holder knows that it has left."""
    for change in (drain, Engine.leave):
        async with Rig(prefill=4, decode=2, services=1) as rig:
            for engine in rig.fleet.engines:
                engine.EVENT_INTERVAL_S = SLOW_EVENT_INTERVAL_S
            end = time.monotonic() + ORDER_S
            while not (wanted := [json.loads(line) for line in rig.vms[0].log_text().splitlines() if '"event":"role_change_wanted"' in line]):
                assert time.monotonic() < end, "no change of role"
                await load(rig, ["stream"], 0.2, rate=20)
            leaving = [engine for engine in rig.fleet.engines if engine.id in {line["engine"] for line in wanted}]
            for engine in leaving:
                change(engine)
            await asyncio.sleep(ORDER_S / 8)
            ordered = [entry["upstream"] for entry in rig.fleet.history if entry["event"] == "order"]
            assert not {engine.id for engine in leaving} & set(ordered), ordered
            assert '"event":"order_prevented"' in rig.vms[0].log_text()


async def stream_is_refused_before_its_first_event_if_its_only_decode_engine_drains():
    async with PlanRig(prefill=1, decode=1, services=1) as rig:
        sent = time.monotonic()
        slow = rig.start_digest()
        engine = await reserved_engine(rig, sent)
        engine.drain()
        request, status, headers, _ = await slow
        assert status == 503 and "retry-after" in headers and not rig.runs_of(request), status
        assert_prevented(rig, "decode", "draining")


async def stream_goes_to_its_decode_engine_if_the_entry_lapsed_while_the_store_was_away():
    """Guards against refusing a stream because the only engine could not renew its entry."""
    async with PlanRig(prefill=1, decode=1, services=1) as rig:
        sent, store = time.monotonic(), rig.fleet.store
        slow = rig.start_digest()
        engine = await reserved_engine(rig, sent)
        store.mode = "reset"
        store.change_event.set()
        await asyncio.sleep(0.3)
        store.delete(f"servers/{engine.id}")
        store.mode = "up"
        request, status, _, _ = await slow
        assert status == 200 and len(rig.runs_of(request)) == 1, status
        log = rig.vms[0].log_text()
        assert '"event":"upstream_lapsed"' in log and '"event":"send_prevented"' not in log


async def prompt_goes_to_another_engine_if_its_prefill_engine_drains_during_the_reservation():
    async with Rig(prefill=2, decode=2, services=1) as rig:
        prefill = [engine for engine in rig.fleet.engines if engine.role == "prefill"]

        async def reserve_slowly(engine, handle, request, reader, writer):
            if request.path == "/hold-take":
                await asyncio.sleep(SLOW_RESERVATION_S)
            return await handle(request, reader, writer)

        for engine in rig.fleet.engines:
            if engine.role == "decode":
                engine.handle = lambda *arguments, engine=engine, handle=engine.handle: reserve_slowly(engine, handle, *arguments)
        await rig.send("digest")
        sent = time.monotonic()
        streams = [asyncio.create_task(rig.send("digest")) for _ in range(6)]  # spread over both prefill engines
        await reserved_engine(rig, sent)
        prefill[0].drain()
        results = await asyncio.gather(*streams)
        assert not arrivals(rig, prefill[0], sent), "a prompt went to a prefill engine that drains"
        assert {status for _, status, *_ in results} == {200}, results
        assert_prevented(rig, "prefill", "draining")


async def hedge_does_not_go_to_a_service_that_drains():
    async with Rig(services=2) as rig:
        slow, leaving = rig.fleet.services
        slow.fault, slow.fault_share = "hang", 1.0
        leaving.drain()
        await asyncio.sleep(HEARD_S)
        since = time.monotonic()
        await asyncio.gather(*(rig.send("check", deadline=1500) for _ in range(4)))
        assert not arrivals(rig, leaving, since), "a request went to a service that drains"


async def relayed_stream_goes_to_another_engine_if_its_decode_engine_drains():
    async with PlanRig(vms=2, prefill=1, decode=2, services=1) as rig:
        links = await rig.relay_upstreams(rig.vms[:1])
        await asyncio.sleep(START_S)
        links.cut(rig.vms[0], "refuse")
        await load(rig, ["stream"], 1.0, rate=6)
        sent = time.monotonic()
        slow = rig.start_digest(rig.vms[0])
        engine = await reserved_engine(rig, sent)
        engine.drain()
        request, status, _, _ = await slow
        assert not [entry for entry in arrivals(rig, engine, sent) if entry["request"] == request], "a relayed stream went to an engine that drains"
        assert status == 200, status
        assert_prevented(rig, "decode", "draining")


TESTS = [engine_that_leaves_before_its_order_gets_none,
         prefilled_prompt_goes_to_another_engine_if_the_entry_of_its_decode_engine_changes,
         stream_is_refused_before_its_first_event_if_its_only_decode_engine_drains,
         stream_goes_to_its_decode_engine_if_the_entry_lapsed_while_the_store_was_away,
         prompt_goes_to_another_engine_if_its_prefill_engine_drains_during_the_reservation,
         hedge_does_not_go_to_a_service_that_drains, relayed_stream_goes_to_another_engine_if_its_decode_engine_drains]
