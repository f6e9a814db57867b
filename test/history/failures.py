"""Process tests, each of which causes one failure and checks the guarantees that must hold. The last line is "failures: N passed, N failed"."""

import base64
import http.client
import http.server
import json
import os
import pathlib
import signal
import socket
import sys
import threading
import time
import traceback

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent.parent / "support"))

from cluster import OPERATOR_TOKEN, Cluster, call  # noqa: E402

TOKEN = "rehoming-token"


class Stream:
    """One streamed completion, read token by token."""

    def __init__(self, address, prompt, max_tokens, headers=None):
        host, port = address.split(":")
        self.max_tokens = max_tokens
        self.connection = http.client.HTTPConnection(host, int(port), timeout=20)
        body = json.dumps({"model": "caseworker", "prompt": prompt, "max_tokens": max_tokens, "stream": True})
        self.connection.request("POST", "/v1/completions", body, {"Authorization": "Bearer " + TOKEN, **(headers or {})})
        self.response = self.connection.getresponse()
        self.tokens = []
        self.done = False

    def read(self, count=None):
        """Reads until `count` tokens have arrived in total, or to the end of the stream."""
        while not self.done and (count is None or len(self.tokens) < count):
            line = self.response.readline()
            if not line:
                break
            if line.startswith(b"data: [DONE]"):
                self.done = True
            elif line.startswith(b"data: "):
                self.tokens.append(json.loads(line[6:])["choices"][0]["text"])
        return self

    def is_complete(self):
        """Returns whether each token of one prompt's answer arrived once, in order, followed by the end mark."""
        parts = [token.strip().split("-") for token in self.tokens]
        return self.done and len({p[0] for p in parts}) == 1 and [int(p[1]) for p in parts] == list(range(self.max_tokens))

    def close(self):
        self.connection.close()


def expect(condition, message):
    if not condition:
        raise AssertionError(message)


def eventually(condition, seconds, message):
    deadline = time.time() + seconds
    while time.time() < deadline:
        if condition():
            return
        time.sleep(0.05)
    raise AssertionError(message)


def holds_no_requests(cluster):
    try:
        return not any(cluster.held_requests().values())
    except OSError:
        return False


def engine_running_a_request(cluster, role="decode"):
    """Returns the name of the first engine of the role that runs a request. Restarting engines are skipped."""
    for engine in cluster.engines:
        try:
            if engine["role"] == role and call(f"127.0.0.1:{engine['port']}", "GET", "/v1/requests")[1]["requests"]:
                return engine["name"]
        except OSError:
            pass
    raise AssertionError("no engine runs a request")


def test_bad_input_is_refused_clearly(cluster):
    address = cluster.caller_address("vm0")
    cases = [
        ("/v1/completions", "{", TOKEN, 400), ("/v1/completions", b"\xff\xfe{}", TOKEN, 400), ("/v1/completions", "[]", TOKEN, 400),
        ("/v1/completions", {"model": "caseworker"}, TOKEN, 400), ("/v1/completions", {"model": "caseworker", "prompt": 5}, TOKEN, 400),
        ("/v1/completions", {"model": "caseworker", "prompt": "x", "max_tokens": -1}, TOKEN, 400),
        ("/v1/completions", {"model": "other", "prompt": "x"}, TOKEN, 404), ("/v1/completions", {"model": "caseworker", "prompt": "x"}, "wrong", 401),
        ("/v1/completions", {"model": "caseworker", "prompt": "x"}, None, 401), ("/nothing", {}, TOKEN, 404), ("/services/none/x", {}, TOKEN, 404),
        ("/v1/completions", "x" * (9 << 20), TOKEN, 413),
    ]
    for path, body, token, expected in cases:
        status, answer = call(address, "POST", path, body, token)
        expect(status == expected and answer["ran"] == "no", f"{path} with {str(body)[:40]} gave {status}, not {expected}")
    for junk in (b"\x00\x01\x02\r\n\r\n", b"POST /v1/completions HTTP/1.1\r\nContent-Length: -5\r\n\r\n", b"GET / HTTP/1.1\r\n" + b"X: y\r\n" * 20000):
        with socket.create_connection(("127.0.0.1", int(address.split(":")[1])), timeout=2) as connection:
            try:
                connection.sendall(junk)
            except OSError:
                pass
    expect(call(address, "GET", "/healthz")[0] == 200, "the VM does not answer after malformed requests")


def test_caller_disconnect_frees_the_engine(cluster):
    before = cluster.counters().get("callers_gone", 0)
    stream = Stream(cluster.caller_address("vm0"), "a long file " * 100, 2000).read(3)
    stream.close()
    del stream
    # A caller that disconnects before its first token.
    early = socket.create_connection(("127.0.0.1", int(cluster.caller_address("vm1").split(":")[1])))
    body = json.dumps({"model": "caseworker", "prompt": "w " * 20000, "max_tokens": 2000, "stream": True})
    early.sendall(f"POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {TOKEN}\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
    time.sleep(0.15)
    early.close()
    eventually(lambda: cluster.counters().get("callers_gone", 0) >= before + 2, 3, "the disconnected callers were not noticed")
    eventually(lambda: holds_no_requests(cluster), 3, "engines hold memory of disconnected callers")


def test_decode_crash_loses_no_token(cluster):
    stream = Stream(cluster.caller_address("vm0"), "file one " * 30, 60).read(10)
    cluster.inject_fault(engine_running_a_request(cluster), kind="crash")
    expect(stream.read().is_complete(), f"the answer is not complete: {stream.tokens[-5:]}")


def test_stream_of_a_silent_engine_is_resumed(cluster):
    stream = Stream(cluster.caller_address("vm0"), "file two " * 30, 400).read(10)
    cluster.inject_fault(engine_running_a_request(cluster), kind="silence")
    expect(stream.read().is_complete(), "the answer is not complete after its connection went silent")


def test_stalled_transfer_is_retried(cluster):
    for engine in cluster.engines:
        if engine["role"] == "prefill":
            cluster.inject_fault(engine["name"], kind="stall", duration_ms=700)
    expect(Stream(cluster.caller_address("vm1"), "file three " * 30, 20).read().is_complete(), "the answer is not complete after a stalled transfer")
    eventually(lambda: holds_no_requests(cluster), 6, "engines hold memory of the stalled attempt")


def test_request_that_crashes_engines_is_quarantined(cluster):
    status, answer = call(cluster.caller_address("vm0"), "POST", "/v1/completions", {"model": "caseworker", "prompt": "crash-decode now", "max_tokens": 5}, TOKEN, timeout=20)
    expect(status == 422 and "quarantined" in answer["title"], f"the request that crashes engines got {status} {answer}")
    eventually(lambda: call(cluster.caller_address("vm2"), "POST", "/v1/completions", {"model": "caseworker", "prompt": "crash-decode now", "max_tokens": 5}, TOKEN)[0] == 422,
               3, "another VM runs the request that crashes engines")
    crashes = cluster.engine_counters().get("crashes", 0)
    call(cluster.caller_address("vm1"), "POST", "/v1/completions", {"model": "caseworker", "prompt": "crash-decode now", "max_tokens": 5}, TOKEN)
    expect(cluster.engine_counters().get("crashes", 0) == crashes, "a quarantined request crashed an engine")
    time.sleep(2)  # the crashed engines restart
    expect(Stream(cluster.caller_address("vm0"), "an innocent file", 10).read().is_complete(), "another request is refused")


def test_concurrent_streams_survive_a_crash(cluster):
    streams = [Stream(cluster.caller_address(f"vm{i % 3}"), f"neighbour {i} " * 20, 80).read(2) for i in range(12)]
    crash = threading.Thread(target=lambda: call(cluster.caller_address("vm1"), "POST", "/v1/completions", {"model": "caseworker", "prompt": "crash-decode again", "max_tokens": 5}, TOKEN, timeout=20))
    crash.start()
    complete = [stream.read().is_complete() for stream in streams]
    crash.join()
    expect(all(complete), f"{complete.count(False)} of 12 streams that ran during a crash are not complete")
    time.sleep(2)


def test_unreachable_engines_quarantine_no_request(cluster):
    before = cluster.counters().get("fingerprints_quarantined", 0)
    stream = Stream(cluster.caller_address("vm0"), "unlucky file " * 30, 300).read(5)
    crashed = engine_running_a_request(cluster)
    for engine in cluster.engines:
        if engine["role"] == "decode" and engine["name"] != crashed:
            cluster.inject_fault(engine["name"], kind="crash")  # unreachable when the request is sent there, so it never runs there
    cluster.inject_fault(crashed, kind="crash")
    expect(stream.read().is_complete(), "a request that was sent to unreachable engines was not answered")
    expect(cluster.counters().get("fingerprints_quarantined", 0) == before, "a request was quarantined for engines that it never ran on")
    time.sleep(2)


def test_draining_upstream_gets_no_new_work(cluster):
    document = call(cluster.peer_address("vm0"), "GET", "/operator/config", None, OPERATOR_TOKEN)[1]
    document["pools"][1]["engines"][0]["leaving"] = True
    expect(cluster.submit(document, document["revision"])[1]["accepted"], "the change was refused")
    time.sleep(3)
    draining = document["pools"][1]["engines"][0]
    before = call(draining["address"], "GET", "/standin/counters")[1].get("requests", 0)
    for index in range(24):
        expect(Stream(cluster.caller_address(f"vm{index % 3}"), f"file {index}", 3).read().is_complete(), "a request was not served")
    expect(call(draining["address"], "GET", "/standin/counters")[1].get("requests", 0) == before, "the draining engine got new requests")
    document = call(cluster.peer_address("vm0"), "GET", "/operator/config", None, OPERATOR_TOKEN)[1]
    document["pools"][1]["engines"][0]["leaving"] = False
    cluster.submit(document, document["revision"])


def test_orders_carry_increasing_fencing_tokens(cluster):
    engine = cluster.engines[0]
    address = f"127.0.0.1:{engine['port']}"
    first = call(cluster.peer_address("vm0"), "POST", "/operator/order", {"engine": engine["name"], "kind": "role", "value": "prefill"}, OPERATOR_TOKEN)
    expect(first[0] == 200 and first[1]["fencing_number"] >= 1, f"an order was refused: {first}")
    # Another VM becomes the engine's owner: it raises the fencing token in the store and sends an order with it.
    number = first[1]["fencing_number"]
    key = base64.b64encode(("currant/fence/" + engine["name"]).encode()).decode()
    call(cluster.platform, "POST", "/v3/kv/put", {"key": key, "value": base64.b64encode(str(number + 1).encode()).decode()})
    expect(call(address, "POST", "/v1/orders", {"kind": "role", "value": "prefill", "fencing_number": number + 1})[0] == 200, "the new owner's order was refused")
    stale = call(cluster.peer_address("vm1"), "POST", "/operator/order", {"engine": engine["name"], "kind": "role", "value": "decode"}, OPERATOR_TOKEN)
    expect(stale[0] == 409, f"an order with a stale fencing token took effect: {stale}")
    again = call(cluster.peer_address("vm1"), "POST", "/operator/order", {"engine": engine["name"], "kind": "role", "value": "prefill"}, OPERATOR_TOKEN)
    expect(again[0] == 200 and again[1]["fencing_number"] == number + 2, f"the fencing token is not higher than the other owner's: {again}")
    member = call(cluster.peer_address("vm1"), "POST", "/operator/order", {"engine": engine["name"], "kind": "role", "value": "decode"}, TOKEN)
    expect(member[0] == 403, "a member may send orders")


def test_operators_race(cluster):
    document = call(cluster.peer_address("vm0"), "GET", "/operator/config", None, OPERATOR_TOKEN)[1]
    results = [None, None]

    def submit(index):
        changed = json.loads(json.dumps(document))
        changed["members"][index]["share"] = 7 + index
        results[index] = cluster.submit(changed, document["revision"], f"vm{index}")

    threads = [threading.Thread(target=submit, args=(i,)) for i in range(2)]
    [t.start() for t in threads]
    [t.join() for t in threads]
    accepted = [r for r in results if r[1]["accepted"]]
    refused = [r for r in results if not r[1]["accepted"]]
    expect(len(accepted) == 1 and len(refused) == 1, f"of two changes to one revision, not exactly one was accepted: {results}")
    expect(refused[0][0] == 409 and refused[0][1]["revision"] == accepted[0][1]["revision"], "the refusal does not name the accepted revision")
    expect(sorted(refused[0][1]["differing"]) == ["/members/0/share", "/members/1/share"], f"the refusal names these differences: {refused[0][1]['differing']}")


def test_lost_reply_of_the_store_is_handled(cluster):
    cluster.set_platform_faults(lost_reply_share=1.0)
    document = call(cluster.peer_address("vm0"), "GET", "/operator/config", None, OPERATOR_TOKEN)[1]
    document["limits"] = {"quarantine_s": 777}
    status, answer = cluster.submit(document, document["revision"], "vm1", "lost-1")
    booking = call(cluster.caller_address("vm0"), "POST", "/services/adoption/bookings", {"booking": "lost-reply"}, TOKEN, headers={"Idempotency-Key": "lost-reply"})
    cluster.set_platform_faults(lost_reply_share=0)
    expect(status == 200 and answer["accepted"], f"a change whose reply was lost was not accepted: {status} {answer}")
    expect(booking[0] == 201, f"a booking failed after the reply to its journal write was lost: {booking}")
    again = cluster.submit(document, document["revision"], "vm2", "lost-1")
    expect(again[1]["accepted"] and again[1]["revision"] == answer["revision"], "the repeated submission was not recognized")


def test_lost_answer_of_a_booking_is_not_run_again(cluster):
    lose_replies = lambda ms: [call(f"127.0.0.1:{b['port']}", "POST", "/standin/faults", {"kind": "lose_reply", "duration_ms": ms}) for b in cluster.bookings]
    lose_replies(1500)
    keyed = [call(cluster.caller_address(f"vm{i}"), "POST", "/services/adoption/bookings", {"booking": "lost-answer"}, TOKEN, headers={"Idempotency-Key": "lost-answer"}) for i in range(3)]
    plain = call(cluster.caller_address("vm0"), "POST", "/services/adoption/bookings", {"booking": "no-key"}, TOKEN)
    lose_replies(0)
    later = call(cluster.caller_address("vm1"), "POST", "/services/adoption/bookings", {"booking": "lost-answer"}, TOKEN, headers={"Idempotency-Key": "lost-answer"})
    runs = call(f"127.0.0.1:{cluster.bookings[0]['port']}", "GET", "/standin/runs")[1]["runs"]
    expect(runs.get("lost-answer") == 1 and runs.get("no-key") == 1, f"bookings whose answers were lost ran {runs.get('lost-answer')} and {runs.get('no-key')} times")
    for status, answer in [*keyed, plain, later]:
        expect(status in (409, 502) and answer["ran"] == "unknown", f"a lost answer was reported as {status} {answer}")


def test_older_revision_is_not_applied(cluster):
    # The store holds an older document, as after a restore from a backup; no VM may go back to it.
    document = call(cluster.peer_address("vm0"), "GET", "/operator/config", None, OPERATOR_TOKEN)[1]
    document["limits"] = {"quarantine_s": 555}
    cluster.submit(document, document["revision"])
    time.sleep(1)
    before = [call(cluster.caller_address(f"vm{i}"), "GET", "/readyz")[1]["revision"] for i in range(3)]
    key = base64.b64encode(b"currant/config/current").decode()
    current = call(cluster.platform, "POST", "/v3/kv/range", {"key": key})[1]["kvs"][0]["value"]
    older = json.loads(base64.b64decode(current))
    older["revision"] = 1
    call(cluster.platform, "POST", "/v3/kv/put", {"key": key, "value": base64.b64encode(json.dumps(older).encode()).decode()})
    time.sleep(0.5)
    after = [call(cluster.caller_address(f"vm{i}"), "GET", "/readyz")[1]["revision"] for i in range(3)]
    call(cluster.platform, "POST", "/v3/kv/put", {"key": key, "value": current})
    expect(after == before, f"revisions went from {before} to {after}")


def test_platform_outage(cluster):
    for index in range(40):  # makes the owners read all journal segments before the outage
        key = f"before-{index}"
        call(cluster.caller_address(f"vm{index % 3}"), "POST", "/services/adoption/bookings", {"booking": key}, TOKEN, headers={"Idempotency-Key": key})
    cluster.set_platform_faults(down=True)
    try:
        expect(Stream(cluster.caller_address("vm0"), "during the outage", 5).read().is_complete(), "a completion failed during the platform's outage")
        expect(call(cluster.caller_address("vm1"), "GET", "/services/adoption/availability", None, TOKEN)[0] == 200, "a read failed during the platform's outage")
        status, answer = call(cluster.caller_address("vm1"), "POST", "/services/adoption/bookings", {"booking": "outage"}, TOKEN, headers={"Idempotency-Key": "outage"})
        expect(status == 503 and answer["ran"] == "no", f"a booking during the platform's outage got {status} {answer}")
        # A VM that starts during the outage fetches its configuration from its peers.
        cluster.kill("vm2")
        cluster.start_vm("vm2")
        cluster.wait_for(lambda: call(cluster.caller_address("vm2"), "GET", "/readyz")[0] == 200, 8)
        expect(call(cluster.caller_address("vm2"), "GET", "/readyz")[1]["revision"] == call(cluster.caller_address("vm0"), "GET", "/readyz")[1]["revision"], "the revisions differ")
    finally:
        cluster.set_platform_faults(down=False)
    runs = call(f"127.0.0.1:{cluster.bookings[0]['port']}", "GET", "/standin/runs")[1]["runs"]
    expect("outage" not in runs, "a booking that was refused as not run ran")
    eventually(lambda: call(cluster.caller_address("vm1"), "POST", "/services/adoption/bookings", {"booking": "outage"}, TOKEN, headers={"Idempotency-Key": "outage"})[0] == 201,
               5, "bookings still fail after the outage")


def test_killed_vm_leaves_no_memory_held(cluster):
    streams = [Stream(cluster.caller_address("vm1"), f"orphan {i}", 4000).read(2) for i in range(5)]
    cluster.kill("vm1")
    eventually(lambda: holds_no_requests(cluster), 8, "engines hold memory of a dead VM's requests")
    [stream.close() for stream in streams]
    expect(Stream(cluster.caller_address("vm0"), "after the death", 5).read().is_complete(), "requests fail after a VM failed")
    cluster.start_vm("vm1")
    cluster.wait_for(lambda: call(cluster.caller_address("vm1"), "GET", "/readyz")[0] == 200)
    time.sleep(2.5)


def test_joining_vm_takes_over_engines(cluster):
    def owners_of_engines(names):
        owners = {}
        for vm in names:
            for engine in call(cluster.peer_address(vm), "GET", "/operator/upstreams", None, OPERATOR_TOKEN)[1]["engines"]:
                if engine["granted_here"]:
                    owners.setdefault(engine["name"], []).append(vm)
        return owners

    cluster.vm_names.append("newcomer")
    try:
        cluster.start_vm("newcomer")
        cluster.wait_for(lambda: call(cluster.caller_address("newcomer"), "GET", "/readyz")[0] == 200)
        one_owner_each = lambda: sorted(len(v) for v in owners_of_engines(cluster.vm_names).values()) == [1] * len(cluster.engines)
        eventually(lambda: one_owner_each() and ["newcomer"] in owners_of_engines(cluster.vm_names).values(), 5, f"engines' owners after a VM joined: {owners_of_engines(cluster.vm_names)}")
        expect(Stream(cluster.caller_address("newcomer"), "by the newcomer", 5).read().is_complete(), "the new VM does not serve")
    finally:
        cluster.kill("newcomer")
        cluster.vm_names.remove("newcomer")
    eventually(lambda: sorted(len(v) for v in owners_of_engines(cluster.vm_names).values()) == [1] * len(cluster.engines), 6, "engines have no single owner after a VM failed")
    time.sleep(1.5)


class RepeatingService(threading.Thread):
    """A service that writes its previous answer once more when the next request arrives on the same connection."""

    def __init__(self, port):
        super().__init__(daemon=True)
        self.listener = socket.create_server(("127.0.0.1", port))
        self.start()

    def run(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        previous = b""
        while head := connection.recv(65536):
            body = json.dumps({"target": head.split(b" ")[1].decode()}).encode()
            answer = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body) + body
            connection.sendall(previous + answer)
            previous = answer
        connection.close()


def test_answers_that_are_written_twice_reach_one_caller(cluster):
    port = cluster.base_port + 450
    service = RepeatingService(port)
    document = call(cluster.peer_address("vm0"), "GET", "/operator/config", None, OPERATOR_TOKEN)[1]
    document["services"].append({"name": "repeating", "target_ms": 300, "upstreams": [{"name": "repeating0", "address": f"127.0.0.1:{port}", "place": "amman"}],
                                 "calls": [{"method": "GET", "path_prefix": "/", "idempotent": True}]})
    result = cluster.submit(document, document["revision"])
    expect(result[1]["accepted"], f"the service was not accepted: {result}")
    cluster.wait_for(lambda: call(cluster.caller_address("vm0"), "GET", "/services/repeating/first", None, TOKEN)[0] == 200)
    for name in ("second", "third", "fourth"):
        status, answer = call(cluster.caller_address("vm0"), "GET", f"/services/repeating/{name}", None, TOKEN)
        expect(status == 200 and answer["target"].endswith(name), f"the caller of {name} got {status} {answer}")
    service.listener.close()


class ClosingEngine(http.server.ThreadingHTTPServer):
    """Relays the calls of an engine. Its answers have neither length nor chunks, and a stream ends with its connection after a few tokens."""

    TOKENS = 7  # of a stream

    def __init__(self, port, engine):
        self.engine, self.cut = engine, 0
        super().__init__(("127.0.0.1", port), ClosingAnswer)
        threading.Thread(target=self.serve_forever, daemon=True).start()


class ClosingAnswer(http.server.BaseHTTPRequestHandler):
    def relay(self):
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        host, port = self.server.engine.split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=20)
        try:
            connection.request(self.command, self.path, body, {"Content-Type": "application/json"})
            self.answer(connection.getresponse())
        except ConnectionError:
            pass  # the engine restarts, or the VM has closed its connection
        connection.close()

    def answer(self, response):
        self.send_response(response.status)
        self.send_header("Content-Type", response.headers.get("Content-Type", "text/plain"))
        self.end_headers()
        tokens = 0
        while line := response.readline():
            tokens += line.startswith(b"data: ")
            if tokens > self.server.TOKENS:
                self.server.cut += 1
                return
            self.wfile.write(line)

    do_GET = do_POST = relay

    def log_message(self, *_):
        pass


def test_streams_that_end_with_their_connection_are_completed(cluster):
    """Guards against the part of a stream that an engine without framing has sent being taken for the whole."""
    document = call(cluster.peer_address("vm0"), "GET", "/operator/config", None, OPERATOR_TOKEN)[1]
    original = [engine["address"] for engine in document["pools"][1]["engines"]]
    engines = [ClosingEngine(cluster.base_port + 460 + index, address) for index, address in enumerate(original)]
    try:
        for engine, closing in zip(document["pools"][1]["engines"], engines):
            engine["address"] = f"127.0.0.1:{closing.server_port}"
        result = cluster.submit(document, document["revision"])
        expect(result[1]["accepted"], f"the addresses were not accepted: {result}")
        time.sleep(3)
        stream = Stream(cluster.caller_address("vm0"), "file without frames " * 30, 20).read()
        expect(stream.is_complete(), f"the stream is not complete: {stream.tokens}")
        status, answer = call(cluster.caller_address("vm1"), "POST", "/v1/completions", {"model": "caseworker", "prompt": "frames " * 30, "max_tokens": 20}, TOKEN, timeout=20)
        expect(status == 200 and answer["usage"]["completion_tokens"] == 20 and answer["choices"][0]["finish_reason"] == "length", f"{status} {answer}")
        expect([int(token.split("-")[1]) for token in answer["choices"][0]["text"].split()] == list(range(20)), f"{answer}")
        expect(sum(closing.cut for closing in engines) >= 4, "no stream was cut")
    finally:
        document = call(cluster.peer_address("vm0"), "GET", "/operator/config", None, OPERATOR_TOKEN)[1]
        for engine, address in zip(document["pools"][1]["engines"], original):
            engine["address"] = address
        cluster.submit(document, document["revision"])
        time.sleep(3)
        [closing.shutdown() for closing in engines]


class UnframedService(threading.Thread):
    """A service whose answers have neither a length nor chunks. It may end in its first answer as a killed process does, whose connections the
    kernel closes (FIN) as it stops listening. A relay before it may accept connections for `relay_s` longer, and
    closes each after `open_s`."""

    BODY = b'{"booking":"visit-17","confirmed":true}'

    def __init__(self, port, ends, relay_s=0, work_s=0, open_s=0):
        super().__init__(daemon=True)
        self.ends = ends
        self.relay_s, self.work_s, self.open_s = relay_s, work_s, open_s
        self.runs = 0
        self.listener = socket.create_server(("127.0.0.1", port))
        self.start()

    def run(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            with connection, connection.makefile("rb") as request:
                length, line = 0, request.readline()
                if not line:
                    continue  # a connection that shows whether this process goes on
                while (header := request.readline().strip().lower()):
                    length = int(header[15:]) if header.startswith(b"content-length:") else length
                request.read(length)  # a connection that is closed with unread data is reset
                self.runs += 1
                time.sleep(self.work_s)
                body = self.BODY[:15] if self.ends else self.BODY
                connection.sendall(b"HTTP/1.1 201 Created\r\nContent-Type: application/json\r\n\r\n" + body)
            if self.ends:
                self.close_connections(time.monotonic() + self.relay_s)
                return

    def close_connections(self, end_at):
        """Accepts and closes connections until this time, as the relay does, and then stops listening."""
        self.listener.settimeout(0.01)
        while time.monotonic() < end_at:
            try:
                connection = self.listener.accept()[0]
                time.sleep(self.open_s)
                connection.close()
            except TimeoutError:
                pass
        self.listener.close()


def add_service(cluster, name, ports):
    """Adds a service with an upstream at each port, the first one at the place of vm0, and waits until all VMs know it."""
    document = call(cluster.peer_address("vm0"), "GET", "/operator/config", None, OPERATOR_TOKEN)[1]
    upstreams = [{"name": f"{name}{i}", "address": f"127.0.0.1:{port}", "place": cluster.places[i]} for i, port in enumerate(ports)]
    document["services"].append({"name": name, "target_ms": 300, "upstreams": upstreams, "calls": [{"method": "POST", "path_prefix": "/", "idempotent": False}]})
    result = cluster.submit(document, document["revision"])
    expect(result[1]["accepted"], f"the service was not accepted: {result}")
    cluster.wait_for(lambda: all(call(cluster.caller_address(vm), "GET", "/readyz")[1]["revision"] >= result[1]["revision"] for vm in cluster.vm_names))


def test_cut_answer_of_a_service_that_ends_is_no_answer(cluster):
    """Guards against half of a confirmation that is passed on with 201 and recorded for its key."""
    for index, key in enumerate(({"Idempotency-Key": "visit-17"}, {})):
        name = f"ending-{index}"
        service = UnframedService(cluster.base_port + 460 + index, ends=True)
        add_service(cluster, name, [cluster.base_port + 460 + index])
        answers = [call(cluster.caller_address("vm0"), "POST", f"/services/{name}/bookings", {"booking": "visit-17"}, TOKEN, headers=key)]
        if key:
            answers += [call(cluster.caller_address(f"vm{i}"), "POST", f"/services/{name}/bookings", {"booking": "visit-17"}, TOKEN, headers=key) for i in (0, 1)]
        for status, answer in answers:
            expect(status in (409, 502) and answer["ran"] == "unknown", f"a cut answer was reported as {status} {answer}")
        expect(service.runs == 1, f"a booking whose answer was cut ran {service.runs} times")


def test_relay_that_outlives_its_service_does_not_vouch_for_an_answer(cluster):
    service = UnframedService(cluster.base_port + 465, ends=True, relay_s=0.08)
    add_service(cluster, "relayed", [cluster.base_port + 465])
    status, answer = call(cluster.caller_address("vm0"), "POST", "/services/relayed/bookings", {"booking": "visit-17"}, TOKEN)
    expect(status in (409, 502) and answer["ran"] == "unknown", f"a cut answer was reported as {status} {answer}")
    expect(service.runs == 1, f"a booking whose answer was cut ran {service.runs} times")


def test_connection_that_is_observed_too_briefly_before_the_deadline_does_not_vouch_for_an_answer(cluster):
    """Guards against an accepted connection that counts as open, although its time until the deadline is too short to tell."""
    service = UnframedService(cluster.base_port + 466, ends=True, relay_s=0.5, work_s=0.33, open_s=0.06)
    add_service(cluster, "late", [cluster.base_port + 466])
    status, answer = call(cluster.caller_address("vm0"), "POST", "/services/late/bookings", {"booking": "visit-17"}, TOKEN, headers={"X-Deadline-Ms": "400"})
    expect(status in (409, 502, 504) and answer["ran"] == "unknown", f"a cut answer was reported as {status} {answer}")


def test_reads_are_repeated_if_their_service_ends_in_its_answer(cluster):
    ports = [cluster.base_port + 462, cluster.base_port + 463]
    ending, other = (UnframedService(port, ends=port == ports[0]) for port in ports)
    add_service(cluster, "reads", ports)
    for _ in range(40):  # the upstream is chosen at random
        status, answer = call(cluster.caller_address("vm0"), "GET", "/services/reads/first", None, TOKEN)
        expect((status, answer) == (201, json.loads(other.BODY)), f"the caller of a read got {status} {answer}")
        if ending.runs:
            break
    expect(ending.runs == 1, f"the service that ends got {ending.runs} reads")
    other.listener.close()


def test_whole_answers_without_a_length_are_passed_on_and_recorded(cluster):
    service = UnframedService(cluster.base_port + 464, ends=False)
    add_service(cluster, "unframed", [cluster.base_port + 464])
    for vm in ("vm0", "vm0", "vm1"):
        status, answer = call(cluster.caller_address(vm), "POST", "/services/unframed/bookings", {"booking": "visit-17"}, TOKEN, headers={"Idempotency-Key": "whole"})
        expect((status, answer) == (201, json.loads(service.BODY)), f"the caller of a booking got {status} {answer}")
    expect(service.runs == 1, f"the booking ran {service.runs} times")
    service.listener.close()


def test_drain_interrupts_no_answer(cluster):
    streams = [Stream(cluster.caller_address("vm2"), f"draining {i}", 150).read(2) for i in range(5)]
    cluster.processes["vm2"].send_signal(signal.SIGTERM)
    time.sleep(0.2)
    expect(call(cluster.caller_address("vm2"), "GET", "/readyz")[0] == 503, "a draining VM reports that it is ready")
    refused = call(cluster.caller_address("vm2"), "POST", "/v1/completions", {"model": "caseworker", "prompt": "x", "max_tokens": 2}, TOKEN)
    expect(refused[0] == 503 and refused[1]["ran"] == "no", f"a draining VM accepts requests: {refused}")
    expect(all(stream.read().is_complete() for stream in streams), "draining interrupted an answer")
    [stream.close() for stream in streams]
    expect(cluster.processes["vm2"].wait(timeout=20) == 0, "the drained VM did not exit with 0")
    cluster.start_vm("vm2")
    cluster.wait_for(lambda: call(cluster.caller_address("vm2"), "GET", "/readyz")[0] == 200)


def main():
    tests = [(name, test) for name, test in globals().items() if name.startswith("test_")]
    filters = sys.argv[1:]
    failed = 0
    passed = 0
    with Cluster(vms=3, prefill=2, decode=4, bookings=2, base_port=int(os.environ.get("CURRANT_PORT", "25000")), engine_defaults={"linger_ms": 60000}) as cluster:
        cluster.start()
        cluster.settle()
        for name, test in tests:
            if filters and not any(part in name for part in filters):
                continue
            begin = time.time()
            try:
                test(cluster)
                passed += 1
                print(f"ok: {name} ({time.time() - begin:.1f} s)", flush=True)
            except Exception as error:  # the other tests run even if one fails
                failed += 1
                print(f"FAILED: {name}: {error}", flush=True)
                if not isinstance(error, AssertionError):
                    traceback.print_exc()
        if failed:
            print("logs in", cluster.folder)
            cluster.processes and cluster.stop(keep=True)
    print(f"failures: {passed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
