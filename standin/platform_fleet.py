#!/usr/bin/env python3
"""Stand-in for the platform: the store with the operator's configuration, engines and plain services on loopback.

Usage: platform_fleet.py [--prefill N] [--decode N] [--services N]

Prints one JSON line with the store's address, then runs until it is killed.
"""

import argparse
import asyncio
import json

from platform_store import PlatformStore
from platform_upstreams import Engine, Service

PLACES = ("z1", "z2")


def route(name, prefix, kind, service, **settings):
    return {"name": name, "host": "app.example", "prefix": prefix, "type": kind, "service": service, "attempts": 2, "timeout_ms": 3000,
            "latency_goal_ms": 400, "gap_aim_ms": 300, "priority": 1, **settings}


def configuration(version, extra_routes=(), stream_timeout_ms=8000, tenants=()):
    routes = [
        route("stream", "/stream/", "streaming", "llm", timeout_ms=stream_timeout_ms, latency_goal_ms=900, can_resume=True, sticky=True),
        route("digest", "/digest/", "streaming", "llm", timeout_ms=stream_timeout_ms, latency_goal_ms=900, attempts=1),
        route("book", "/book/", "unsafe", "booking", attempts=1),
        route("check", "/check/", "safe", "booking"),
        *extra_routes,
    ]
    engine = {"slots": 16, "kv_tokens": Engine.KV_CAPACITY_TOKENS, "kv_token_bytes": 1000, "link_mbps": 100000, "stride": 1, "kv_hold_s": 0.5,
              "reconfig_s": 1.0, "hold_ms": 2000}
    services = [{"name": "llm", "health_path": "/healthz", "max_conns": 300, "engine": engine},
                {"name": "booking", "health_path": "/healthz", "max_conns": 100}]
    limits = {"max_header_bytes": 16384, "max_body_bytes": 100000, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    document = {"version": version, "routes": routes, "services": services, "limits": limits}
    return {**document, "tenants": list(tenants)} if tenants else document


class Fleet:
    """The store and all upstreams of one platform, on one event loop."""

    def __init__(self, prefill=2, decode=3, services=2, seed=0, kinds=(Engine, Service)):
        self.engine_kind, self.service_kind = kinds
        self.counts, self.stream_timeout_ms = (prefill, decode, services), 8000
        self.store = PlatformStore(seed=seed)
        self.history, self.version = [], 0
        self.tenants = []  # of the next configuration
        self.engines, self.services = [], []

    async def start(self):
        await self.store.start()
        prefill, decode, services = self.counts
        for number in range(prefill + decode):
            role = "prefill" if number < prefill else "decode"
            self.engines.append(await self.engine_kind(self.store, "llm", PLACES[number % 2], self.history, role).start())
        for number in range(services):
            self.services.append(await self.service_kind(self.store, "booking", PLACES[number % 2], self.history).start())
        self.store.engines = {engine.address: engine for engine in self.engines}
        self.configure()
        return self

    def configure(self, extra_routes=()):
        """Publishes the next version of the configuration."""
        self.version += 3
        self.store.put("op/config", json.dumps(configuration(self.version, extra_routes, self.stream_timeout_ms, self.tenants)).encode())

    @property
    def upstreams(self):
        return self.engines + self.services


def vm_settings(name, ip, port, store, place="z1", grace=8, retry_budget=0.2, budget_slack=54, max_fds=4100, memory_mb=110, history_s=20, strict_revoke=False,
                bootstrap=True):
    """Returns the settings file of one VM, as the platform writes it."""
    return f"""node_name: "{name}"
zone: "{place}"
region: "r1"
ip: "{ip}"
zones:
  z1: "r1"
  z2: "r2"
bind:
  front: "{ip}:{port}"
  ready: "{ip}:{port + 1}"
port_range:
  - {port + 2}
  - {port + 9}
bootstrap: {str(bootstrap).lower()}
metrics_port: {port + 9}
limits:
  max_fds: {max_fds}
  memory_mb: {memory_mb}
bounds:
  grace_s: {grace}
  retry_budget: {retry_budget}
  budget_slack: {budget_slack}
  budget_window_s: 10
  lease_ms: 3000
  quota_window_s: 8
  quota_overage: 0.1
  quota_slack: 20
  strict_revoke: {str(strict_revoke).lower()}
  revoke_ms: 3000
provider:
  address: "{store}"
  history_s: {history_s}
"""


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--prefill", type=int, default=2)
    parser.add_argument("--decode", type=int, default=3)
    parser.add_argument("--services", type=int, default=2)
    arguments = parser.parse_args()
    fleet = await Fleet(arguments.prefill, arguments.decode, arguments.services).start()
    print(json.dumps({"store": fleet.store.address}), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
