"""Process tests of currantd beside clients that hold connections and memory. The last line is "overload: N passed, N failed".

Each case starts a small crowd on one VM with lowered limits and checks that the process lives, that its memory and its descriptors stay
within bounds, and that an ordinary booking is answered beside the crowd and afterwards. Times and shares of served requests are not checked.
"""

import contextlib
import os
import pathlib
import socket
import sys
import threading
import time
import traceback

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent.parent / "support"))

from cluster import Cluster, call  # noqa: E402

MEMORY_MB = 60  # of the settings
MAX_BODY = 4_000_000  # bytes
LARGE_BODIES = 24  # clients with bodies of the largest size, several times as many as fit
SMALL_BODIES = 300  # clients with bodies that fill the memory together
SMALL_BODY = 200_000  # bytes
MAX_DESCRIPTORS = 1200
PIECE = 65_536  # bytes that are written at once
HOLD_S = 2.0  # for which a crowd has stood when the ordinary client comes
ATTEMPTS = 10  # of an ordinary client that comes back after refusals
RETRY_S = 1.0
SEND_LIMIT_S = 10
TOKEN = "rehoming-token"
BLOB = b"x" * MAX_BODY


def head(number, *fields):
    lines = ("POST /services/adoption/bookings HTTP/1.1", "Host: x", f"Authorization: Bearer {TOKEN}", f"Idempotency-Key: crowd-{number}", *fields)
    return "".join(f"{line}\r\n" for line in (*lines, "")).encode()


def short_body(number, size=MAX_BODY):
    yield head(number, f"Content-Length: {size}")
    for at in range(0, size - 1, PIECE):
        yield BLOB[at:min(at + PIECE, size - 1)]


def small_short_body(number):
    yield from short_body(number, SMALL_BODY)


def short_chunks(number):
    yield head(number, "Transfer-Encoding: chunked")
    for at in range(0, MAX_BODY, PIECE):
        yield b"%x\r\n%b\r\n" % (PIECE, BLOB[:PIECE])
    yield b"2\r\nx"


def one_byte_chunks(number):
    yield head(number, "Transfer-Encoding: chunked")
    for _ in range(20):
        yield 3_000 * b"1\r\nx\r\n"
    yield b"2\r\nx"


def body_over_the_limit(number):
    yield head(number, "Transfer-Encoding: chunked")
    for _ in range(10 * MAX_BODY // PIECE):
        yield b"%x\r\n%b\r\n" % (PIECE, BLOB[:PIECE])


def announced_over_the_limit(number):
    yield head(number, f"Content-Length: {10 * MAX_BODY}")
    for at in range(0, MAX_BODY, PIECE):
        yield BLOB[at:at + PIECE]


class Crowd:
    """Clients that send what they are told and then hold their connections."""

    def __init__(self, address):
        host, port = address.split(":")
        self.address, self.sockets, self.threads = (host, int(port)), [], []

    def add(self, count, parts):
        for number in range(count):
            self.threads.append(threading.Thread(target=self.run, args=(parts(number),), daemon=True))
            self.threads[-1].start()

    def run(self, parts):
        with contextlib.suppress(OSError):  # the VM may refuse the client and close its connection
            connection = socket.create_connection(self.address, SEND_LIMIT_S)
            self.sockets.append(connection)
            for part in parts:
                connection.sendall(part)

    def leave(self):
        for connection in self.sockets:
            connection.close()


def status_of(process, field):
    with open(f"/proc/{process.pid}/status", encoding="utf-8") as file:
        return next(int(line.split()[1]) for line in file if line.startswith(field))


class Watch:
    """Samples the anonymous memory and the open descriptors of a process."""

    def __init__(self, process):
        self.process, self.memory, self.descriptors, self.ended = process, 0.0, 0, False
        self.thread = threading.Thread(target=self.sample, daemon=True)
        self.thread.start()

    def sample(self):
        while not self.ended and self.process.poll() is None:
            with contextlib.suppress(OSError, StopIteration):  # the process has ended, which `check` reports
                self.memory = max(self.memory, status_of(self.process, "RssAnon") * 1024 / 1e6)
                self.descriptors = max(self.descriptors, len(os.listdir(f"/proc/{self.process.pid}/fd")))
            time.sleep(0.01)

    def check(self):
        assert self.process.poll() is None, f"the VM has ended with {self.process.returncode}"
        assert self.memory < MEMORY_MB, f"{self.memory:.1f} MB of {MEMORY_MB} MB"
        assert self.descriptors <= MAX_DESCRIPTORS, f"{self.descriptors} descriptors of {MAX_DESCRIPTORS}"


def serve(cluster, key):
    """Books as an ordinary client does, which comes back after a refusal."""
    failures = []
    for _ in range(ATTEMPTS):
        try:
            status, _ = call(cluster.caller_address("vm0"), "POST", "/services/adoption/bookings", {"booking": key}, TOKEN, 5,
                             {"Idempotency-Key": key})
            if status == 201:
                return
            failures.append(status)
        except OSError as error:
            failures.append(repr(error))
        time.sleep(RETRY_S)
    raise AssertionError(f"an ordinary booking was not answered: {failures}")


def hold(name, count, parts):
    cluster = Cluster(vms=1, prefill=1, decode=1, bookings=1, places=("amman",), base_port=28000,
                      settings_extra={"memory_mb": MEMORY_MB, "max_body_bytes": MAX_BODY})
    try:
        cluster.start()
        cluster.settle()
        watch = Watch(cluster.processes["vm0"])
        crowd = Crowd(cluster.caller_address("vm0"))
        crowd.add(count, parts)
        time.sleep(HOLD_S)
        serve(cluster, f"{name}-beside")
        watch.check()
        crowd.leave()
        serve(cluster, f"{name}-after")
        watch.check()
        watch.ended = True
        print(f"  {name}: peak {watch.memory:.1f} MB, {watch.descriptors} descriptors", flush=True)
    finally:
        cluster.stop()


CASES = {
    "bodies_that_stop_a_byte_short": (LARGE_BODIES, short_body),
    "small_bodies_that_stop_a_byte_short": (SMALL_BODIES, small_short_body),
    "chunked_bodies_that_stop_a_byte_short": (LARGE_BODIES, short_chunks),
    "chunks_of_one_byte_that_stop_short": (LARGE_BODIES, one_byte_chunks),
    "bodies_sent_over_the_limit": (LARGE_BODIES, body_over_the_limit),
    "announced_bodies_over_the_limit": (LARGE_BODIES, announced_over_the_limit),
}


def main():
    failed = 0
    names = sys.argv[1:] or list(CASES)
    for name in names:
        try:
            hold(name, *CASES[name])
            print(f"ok: {name}", flush=True)
        except Exception as error:  # prints the traceback and continues with the next test
            failed += 1
            print(f"FAILED: {name}: {error!r}", flush=True)
            if not isinstance(error, AssertionError):
                traceback.print_exc()
    print(f"overload: {len(names) - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
