"""Links between groups of VMs that can be cut while the VMs of each group hear one another."""

import asyncio

from platform_store import StoreView
from relay import Relay


class DatagramLink(asyncio.DatagramProtocol):
    """One end of a link between two VMs: what the near VM sends here reaches the far one from the other end."""

    def __init__(self, links, far_address):
        self.links, self.far_address, self.other = links, far_address, None

    def connection_made(self, transport):
        self.transport = transport
        self.address = transport.get_extra_info("sockname")

    def datagram_received(self, data, _):
        if not self.links.are_cut and self.far_address:
            self.other.transport.sendto(data, self.far_address)


class PeerLinks:
    """The links between `outsiders` and the other VMs of a rig, or all other VMs, and those between the outsiders and the store."""

    def __init__(self, rig, outsiders, hear_one_another=True):
        self.rig, self.outsiders, self.hear_one_another = rig, outsiders, hear_one_another
        self.are_cut, self.ends, self.addresses, self.views, self.store_relays = False, {}, {}, [], []

    async def start(self):
        """Restarts all VMs so that they learn the addresses of the links."""
        await asyncio.gather(*(self.rig.kill(vm) for vm in self.rig.vms))  # so that none has the addresses of before
        for vm in self.rig.vms:
            view = await StoreView(self.rig.fleet.store, self.upstream_address, self.seen_by(vm)).start()
            self.views.append(view)
            address = view.address
            if vm in self.outsiders:
                self.store_relays.append(Relay(0, view.server.port))
                address = f"127.0.0.1:{self.store_relays[-1].port}"
            await vm.move_store(address)
        self.rig.relays += self.store_relays
        return self

    async def upstream_address(self, address):
        return address

    def seen_by(self, vm):
        outsiders = {outsider.name for outsider in self.outsiders}

        async def address_of(name, address):
            self.addresses[name] = address
            if vm.name not in outsiders and name not in outsiders:
                return address
            if self.hear_one_another and vm.name in outsiders and name in outsiders:
                return address
            return (await self.end(vm.name, name, address)).address
        return address_of

    async def end(self, near, far, far_address):
        """Returns the end at which `near` reaches `far`."""
        loop = asyncio.get_running_loop()
        if (near, far) not in self.ends:
            for pair in ((near, far), (far, near)):
                _, self.ends[pair] = await loop.create_datagram_endpoint(lambda: DatagramLink(self, None), ("127.0.0.1", 0))
            self.ends[near, far].other, self.ends[far, near].other = self.ends[far, near], self.ends[near, far]
        self.ends[near, far].far_address = far_address
        return self.ends[near, far]

    def cut(self, peers=True, store=True):
        """Drops what passes between the outsiders and the other VMs, and holds back what passes between them and the store."""
        self.are_cut = peers
        for relay in self.store_relays:
            relay.cut = store

    def close(self):
        for view in self.views:
            view.server.stop()
        self.are_cut = True
        for end in self.ends.values():
            end.transport.close()
