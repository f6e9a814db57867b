#!/usr/bin/env python3
"""Starts three currant-edge VMs and the platform's stand-ins, sends one request of each kind and explains the stream from the log."""

import asyncio
import os
import subprocess

from rig import ROOT, Rig


async def main():
    async with Rig(vms=3) as rig:
        for vm, kind in zip([*rig.vms, rig.vms[0]], ("book", "check", "stream", "digest")):
            request, status, headers, body = await rig.send(kind, vm)
            print(f"{vm.name} {kind}: {status}, {len(body)} bytes, {headers.get('server-stamp')}")
            if kind == "stream":
                stream_vm, stream_request = vm, request
        await asyncio.sleep(0.2)
        subprocess.run([os.path.join(ROOT, "build", "currantctl"), "explain", stream_request, stream_vm.log_path], check=True)


if __name__ == "__main__":
    asyncio.run(main())
