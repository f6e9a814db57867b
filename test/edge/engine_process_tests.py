"""Process tests of answers whose upstream is a process that is killed. The kernel closes its connections, in the middle of an answer too, so that
the end of an answer without length or chunks looks like an ordinary one."""

import asyncio
import shutil
import time

from answer_end_tests import end_checks
from rig import Rig
from soak_callers import is_whole

VERSIONS = ("1.1", "1.0")  # of HTTP, as callers use it
START_S = 1.0  # until VMs know all upstreams
SERVES_S = 3.0  # after a start
RECORDS_S = 0.3  # until the rig has read what the processes recorded


class ProcessRig(Rig):
    """A rig whose upstreams are processes and answer without length or chunks; its folder is kept only if the test fails."""

    def __init__(self, **counts):
        super().__init__(processes=True, **counts)

    async def __aenter__(self):
        await super().__aenter__()
        for upstream in self.fleet.upstreams:
            upstream.unframed_share, upstream.restart_s = 1.0, 60.0
        await asyncio.sleep(START_S)
        return self

    async def __aexit__(self, error, *_):
        await super().__aexit__(error, *_)
        if error is None:
            shutil.rmtree(self.folder)

    async def answer(self, kind, version):
        """Returns the request's id, its status, its body or None if the answer broke off visibly, and the number of its runs but for the check
        of its end."""
        request, status, body = self.request_id(), 0, None
        try:
            _, status, _, body = await self.send(kind, request_id=request, version=version)
        except (EOFError, OSError):
            pass
        await asyncio.sleep(RECORDS_S)
        return request, status, body, len(self.runs_of(request)) - min(1, len(end_checks(self, request)))

    async def assert_whole(self, kind, version, allowed_runs=1):
        begin = time.monotonic()
        request, status, body, runs = await self.answer(kind, version)
        took = time.monotonic() - begin
        assert status == 200 and is_whole(kind, request, body), f"{kind} by HTTP/{version} got {status} and {body!r} after {took:.2f} s"
        assert runs == allowed_runs, f"{kind} by HTTP/{version} ran {runs} times"


async def whole_answers_of_processes_are_passed_on():
    """Guards against sound answers without framing that are taken for broken ones, and against a rig whose processes fail by themselves."""
    async with ProcessRig() as rig:
        for version in VERSIONS:
            for kind in ("stream", "digest", "check", "book"):
                await rig.assert_whole(kind, version)


async def suspended_processes_go_on_with_their_answers():
    async with ProcessRig(prefill=1, decode=1, services=1) as rig:
        for upstream in rig.fleet.upstreams:
            upstream.EVENT_INTERVAL_S = upstream.BODY_PAUSE_S = 0.05
        for kind in ("stream", "digest", "check", "book"):
            answer = asyncio.create_task(rig.assert_whole(kind, "1.1"))
            await asyncio.sleep(0.1)
            await asyncio.gather(*(upstream.suspend(0.8) for upstream in rig.fleet.upstreams))
            await answer


async def killed_processes_start_again_and_serve():
    """Guards against a rig whose upstreams do not return as the platform's do: under a new id, or under their own with a later start."""
    for keeps_id in (False, True):
        async with ProcessRig(prefill=1, decode=1, services=1) as rig:
            before = [(upstream.id, upstream.started_ms) for upstream in rig.fleet.upstreams]
            for upstream in rig.fleet.upstreams:
                upstream.restart_s, upstream.expiry_s, upstream.keeps_id = 0.5, 1.0, keeps_id
                upstream.crash_and_restart()
            await asyncio.sleep(SERVES_S)
            for upstream, (old_id, started_ms) in zip(rig.fleet.upstreams, before):
                assert (upstream.id == old_id) == keeps_id and upstream.started_ms > started_ms
                assert f"servers/{upstream.id}" in rig.fleet.store.items and (f"servers/{old_id}" in rig.fleet.store.items) == keeps_id
            for kind in ("stream", "digest", "check", "book"):
                await rig.assert_whole(kind, "1.1")


async def answers_of_killed_upstreams(kind, check, **restart):
    """Sends requests of this kind, one by HTTP/1.1 and one by HTTP/1.0, whose first run is killed in the middle of its answer."""
    for version in VERSIONS:
        async with ProcessRig(decode=3, services=3) as rig:
            for upstream in rig.fleet.upstreams:
                upstream.fault, upstream.fault_share, upstream.WORK_S = "killed", 1.0, 0.2  # so that `heal_after_kill` is in time
                for name, value in restart.items():
                    setattr(upstream, name, value)
            if kind == "check":  # a retried run would be killed like the first one
                killed = asyncio.create_task(heal_after_kill(rig))
            await check(rig, kind, version)
            assert any(entry["event"] == "crashed" for entry in rig.fleet.history), "no upstream was killed"
            if kind == "check":
                await killed


async def heal_after_kill(rig):
    """Lets all upstreams serve once one of them was killed."""
    while not any(entry["event"] == "crashed" for entry in rig.fleet.history):
        await asyncio.sleep(0.001)
    for upstream in rig.fleet.upstreams:
        upstream.fault = ""


async def assert_not_complete(rig, kind, version):
    request, status, body, runs = await rig.answer(kind, version)
    assert body is None or status == 502, f"{kind} by HTTP/{version} got {status} and ends as complete after {body!r}"
    assert runs == 1, f"{kind} ran {runs} times"


async def streams_without_framing_whose_engine_is_killed_go_on_elsewhere():
    """Guards against the end of a stream that is taken for its own although its engine was killed; it may be resumed."""
    await answers_of_killed_upstreams("stream", lambda *request: ProcessRig.assert_whole(*request, allowed_runs=2))


async def streams_without_framing_whose_engine_returns_under_its_id_go_on():
    """As above; the engine starts again at once under its id, so that only the time of its start tells that it was killed."""
    await answers_of_killed_upstreams("stream", lambda *request: ProcessRig.assert_whole(*request, allowed_runs=2), restart_s=0.05, keeps_id=True)


async def streams_without_framing_whose_engine_is_killed_are_not_complete():
    """Guards against a stream that may not be resumed and ends as complete after a part of its events."""
    await answers_of_killed_upstreams("digest", assert_not_complete)


async def plain_answers_without_framing_whose_service_is_killed_come_from_another():
    await answers_of_killed_upstreams("check", lambda *request: ProcessRig.assert_whole(*request, allowed_runs=2))


async def plain_answers_without_framing_whose_service_is_killed_are_not_complete():
    """Guards against a part of an answer that is passed on as a whole one; the request may run once."""
    await answers_of_killed_upstreams("book", assert_not_complete)


TESTS = [whole_answers_of_processes_are_passed_on, suspended_processes_go_on_with_their_answers, killed_processes_start_again_and_serve,
         streams_without_framing_whose_engine_is_killed_go_on_elsewhere, streams_without_framing_whose_engine_returns_under_its_id_go_on,
         streams_without_framing_whose_engine_is_killed_are_not_complete,
         plain_answers_without_framing_whose_service_is_killed_come_from_another,
         plain_answers_without_framing_whose_service_is_killed_are_not_complete]
