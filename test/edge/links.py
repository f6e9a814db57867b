"""Links between single VMs and upstreams that can be cut while other VMs reach the upstreams."""

import asyncio
import socket

from platform_store import StoreView
from relay import Relay

MODES = {
    "hang": "new connections get no answer, open ones pass nothing",
    "refuse": "new connections are refused, open ones are reset",
    "reset": "connections are accepted and reset",
    "live": "new connections get no answer, open ones go on",
    "live_refuse": "new connections are refused, open ones go on",
    "one_way": "new connections get no answer, on open ones requests arrive and answers never come back",
    "mute": "connections are accepted and requests arrive, answers never come back",
}
FILLERS = 2  # connections that fill the queue of a listening socket without backlog


class Link(Relay):
    """The link between one VM and one upstream; all its methods return when the change is in force."""

    def __init__(self, server):
        self.mode, self.server_is_up, self.blockers = "", True, []
        super().__init__(0, server.port)
        self.upstream_hooks = server.on_listening
        self.upstream_hooks.append(self.follow)

    def set_mode(self, mode):
        self.mode = mode
        asyncio.run_coroutine_threadsafe(self._apply(), Relay._loop).result(5)

    def follow(self, server_is_up):
        """Refuses connections while the upstream does."""
        self.server_is_up = server_is_up
        if not self.mode:
            self.set_mode("")

    async def _apply(self):
        mode = self.mode or ("" if self.server_is_up else "refuse")
        self.cut, self.cut_answers = mode == "hang", mode in ("one_way", "mute")
        self._stop_listening()
        if self.mode in ("refuse", "reset"):
            for writer in list(self.writers):
                self._reset(writer)
        if mode in ("", "reset", "mute"):
            self.server = await asyncio.start_server(self._accept, "127.0.0.1", self.port)
        else:
            self._block(answers=mode in ("refuse", "live_refuse"))

    def _stop_listening(self):
        self.server.close()
        for blocker in self.blockers:
            blocker.close()
        self.blockers = []

    def _block(self, answers):
        """Holds the port, so that connections are refused or, with a full queue of a listening socket, get no answer."""
        holder = socket.socket()
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind(("127.0.0.1", self.port))
        self.blockers = [holder]
        if not answers:
            holder.listen(0)
            for _ in range(FILLERS):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(("127.0.0.1", self.port))
                self.blockers.append(filler)

    async def _accept(self, reader, writer):
        if self.mode == "reset":
            self._reset(writer)
            return
        await super()._accept(reader, writer)

    def close(self):
        self.upstream_hooks.remove(self.follow)
        Relay._loop.call_soon_threadsafe(self._stop_listening)
        self.reset()


class UpstreamLinks:
    """The links of all VMs that were added. Each VM learns from a view of the store that upstreams have its links' addresses."""

    def __init__(self, fleet):
        self.fleet, self.links, self.views = fleet, {}, []

    async def add(self, vm, peer_links=None):
        async def address_of(address):
            return self.address_of(vm.name, address)
        view = await StoreView(self.fleet.store, address_of, peer_links and peer_links.seen_by(vm)).start()
        self.views.append(view)
        await vm.move_store(view.address)

    def address_of(self, vm, address):
        """Returns the address under which this VM knows the upstream."""
        upstream = next((upstream for upstream in self.fleet.upstreams if upstream.address == address), None)
        if upstream is None:
            return address
        if (vm, upstream) not in self.links:
            link = self.links[vm, upstream] = Link(upstream.server)
            if upstream in self.fleet.engines:
                self.fleet.store.engines[f"127.0.0.1:{link.port}"] = upstream  # engines fetch KV caches from it
        return f"127.0.0.1:{self.links[vm, upstream].port}"

    def cut(self, vm, mode, upstreams=None):
        """Cuts the VM off from these upstreams, or from all, in one of MODES; the links to others stay as they are."""
        assert not mode or mode in MODES, mode
        for (name, upstream), link in self.links.items():
            if name == vm.name and (upstreams is None or upstream in upstreams):
                link.set_mode(mode)

    def heal(self, vm, upstreams=None):
        self.cut(vm, "", upstreams)

    def close(self):
        for view in self.views:
            view.server.stop()
        for link in self.links.values():
            link.close()
