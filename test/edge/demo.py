#!/usr/bin/env python3
"""Three currant-edge VMs before the platform's stand-ins: one request of each kind, and the log's story of the stream."""

import asyncio
import os
import subprocess

from rig import ROOT, Rig


async def main():
    async with Rig(vms=3) as rig:
        for vm, kind in zip([*rig.vms, rig.vms[0]], ("book", "check", "stream", "digest")):
            request, status, headers, body = await rig.ask(kind, vm)
            print(f"{vm.name} {kind}: {status}, {len(body)} bytes, {headers.get('server-stamp')}")
            if kind == "stream":
                story = vm, request
        await asyncio.sleep(0.2)
        vm, request = story
        subprocess.run([os.path.join(ROOT, "build", "currantctl"), "explain", request, vm.log_path], check=True)


if __name__ == "__main__":
    asyncio.run(main())
