#!/usr/bin/env python3
"""An upstream as a process of its own. The stand-ins start this file; it takes no arguments.

The process reads JSON lines from its standard input: its settings, then changes of them. It writes its entries and its records of requests
to its standard output, a JSON line each, and ends with its input. The process that started it writes the entries to the store.
"""

import asyncio
import ctypes
import json
import os
import random
import signal
import sys
import time

from http_peer import reset, response
from platform_upstreams import Engine, Service

START_LIMIT_S = 20  # of a process, on a busy machine
ANSWER_LIMIT_S = 1.0  # of another engine that is asked for a KV cache
RETRY_S = 0.05
LINE_BYTES = 1 << 20
PR_SET_PDEATHSIG = 1
SUCCESSORS = ("holds", "closes", "resets", "answers")  # what a listener that outlives its engine does with connections


class Output:
    """Stands for the store and the history in the process: writes entries and records to its standard output."""

    def __init__(self):
        self.random = random.Random()

    def put(self, _, entry):
        self.append({"event": "entry", **json.loads(entry)})

    def append(self, record):
        os.write(sys.stdout.fileno(), json.dumps(record).encode() + b"\n")  # nothing is left in a buffer when the process is killed


class LoneEngine(Engine):
    async def take_kv(self, address, handle):
        """Asks the engine that made the handle, on a connection that VMs cannot cut."""
        async def ask():
            reader, writer = await asyncio.open_connection("127.0.0.1", int(handle.rpartition("-")[2]))
            try:
                writer.write(f"POST /kv-take/{handle} HTTP/1.1\r\n\r\n".encode())
                await reader.readuntil(b"\r\n\r\n")
                return json.loads(await reader.readuntil(b"}"))["request"]
            finally:
                writer.close()
        try:
            return await asyncio.wait_for(ask(), ANSWER_LIMIT_S)
        except (OSError, EOFError, asyncio.TimeoutError):
            return None  # the engine has ended or is suspended


KINDS = {"Engine": LoneEngine, "Service": Service}


async def run():
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)  # a suspended process does not see the end of its input
    reader = asyncio.StreamReader(LINE_BYTES)
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    settings, output = json.loads(await reader.readline()), Output()
    kind, port = settings.pop("kind"), settings.pop("port")
    role = [settings["role"]] if kind == "Engine" else []
    upstream = KINDS[kind](output, settings["service"], settings["place"], output, *role, port)
    vars(upstream).update(settings)
    upstream.local_ids = iter(lambda: random.getrandbits(40), None)  # handles of an earlier process are never valid again
    upstream.crashes_on = lambda request: request.path.endswith("/poison")
    upstream.crash_and_restart = lambda: os.kill(os.getpid(), signal.SIGKILL)
    while not upstream.server.is_listening:
        try:
            await upstream.start()
        except OSError:
            await asyncio.sleep(RETRY_S)  # the port is not free yet
    while line := await reader.readline():
        change = json.loads(line)
        if "silence_s" in change:
            upstream.server.fall_silent(change["silence_s"])
        vars(upstream).update(change)
    os._exit(0)


class ProcessServer:
    """Starts, suspends and kills an upstream's process; takes the place of the server in the process of the stand-ins."""

    def __init__(self, upstream):
        self.upstream, self.port, self.process, self.on_listening = upstream, 0, None, []
        self.is_listening, self.is_closed, self.followers, self.starting = False, False, [], asyncio.Lock()
        self.successor, self.listener = "", None  # one of SUCCESSORS, if something listens after the next kill

    async def start(self):
        async with self.starting:
            self.stop()
            if self.is_closed:
                return self
            process = self.process = await asyncio.create_subprocess_exec(
                sys.executable, __file__, stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, limit=LINE_BYTES)
            self.send({**self.upstream.settings(), "port": self.port})
            started = asyncio.get_running_loop().create_future()
            self.followers.append(asyncio.create_task(self.follow(process, started)))
            await asyncio.wait_for(started, START_LIMIT_S)
        return self

    async def follow(self, process, started):
        """Takes over what the process writes, until it has ended."""
        while (line := await process.stdout.readline()).endswith(b"\n"):
            record = json.loads(line)
            if record["event"] != "entry":
                self.upstream.history.append(record)
            elif process is self.process:
                self.port = int(record["address"].rpartition(":")[2])
                if started.done():
                    self.upstream.take_over(record)
                else:
                    started.set_result(None)
                    self.set_listening(True)
        await process.wait()
        if process is self.process:
            self.upstream.crash_and_restart()
        if not started.done():
            started.set_result(None)

    def set_listening(self, is_listening):
        if self.is_listening != is_listening:
            self.is_listening = is_listening
            for hook in self.on_listening:
                hook(is_listening)

    def send(self, change):
        if self.process and not self.process.stdin.is_closing():
            self.process.stdin.write(json.dumps(change).encode() + b"\n")

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    def stop(self):
        """Kills the process, so that the kernel closes its connections; its successor, if one is set, listens until the next start."""
        self.signal(signal.SIGKILL)
        if self.listener:
            self.listener.close()
        if self.successor and self.process and not self.is_closed:
            self.is_listening = False  # links to it go on accepting connections
            self.followers.append(asyncio.create_task(self.succeed(self.process, self.successor)))
        else:
            self.set_listening(False)
        self.process, self.successor, self.listener = None, "", None

    async def succeed(self, process, kind):
        """Listens at the port of a process that has been killed."""
        async def serve(reader, writer):
            if kind == "resets":
                reset(writer)
            elif kind != "closes":
                await reader.read(LINE_BYTES)
                writer.write(response(503) if kind == "answers" else b"")
                await reader.read()
            writer.close()
        await process.wait()
        if self.process is None and not self.is_closed:
            self.listener = await asyncio.start_server(serve, "127.0.0.1", self.port)

    def fall_silent(self, seconds):
        self.send({"silence_s": seconds})

    async def end(self):
        self.is_closed = True
        self.stop()
        await asyncio.gather(*self.followers, return_exceptions=True)


class UpstreamProcess:
    """What engines and services that run as processes of their own share; attributes that are set reach the process."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.server = ProcessServer(self)

    def __setattr__(self, name, value):
        super().__setattr__(name, value)
        if isinstance(vars(self).get("server"), ProcessServer) and name in self.settings():
            self.server.send({name: value})

    def settings(self):
        return {"kind": self.KIND, **{name: value for name, value in vars(self).items()
                                      if isinstance(value, (str, int, float, list)) and name != "history"}}

    def take_over(self, entry):
        """Writes the entry to the store after the process has changed its role."""
        vars(self)["role"] = entry["phase"]
        self.register()

    async def suspend(self, seconds):
        """Stops the process for this time; the kernel goes on accepting connections and bytes for it."""
        server, process = self.server, self.server.process
        server.signal(signal.SIGSTOP)
        self.history.append({"event": "silent", "upstream": self.id, "at": time.monotonic(), "seconds": seconds})
        await asyncio.sleep(seconds)
        if process is server.process:
            server.signal(signal.SIGCONT)


class EngineProcess(UpstreamProcess, Engine):
    KIND = "Engine"


class ServiceProcess(UpstreamProcess, Service):
    KIND = "Service"


if __name__ == "__main__":
    asyncio.run(run())
