"""Clients send large bodies, within the limits of the configuration.

The platform's stand-in does what DEPLOY.md says of memory: it kills a process
that exceeds `memoryMb` and starts it again.
"""

import asyncio
import contextlib
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from harness3 import rig as rig_lib  # noqa: E402

MEMORY_BYTES = 222 << 20
# The configuration's `maxBodyBytes` is 64 MiB, and the process must run within
# `memoryMb` = 222 on one host.
LARGE_BODY_BYTES = 52 << 20
SMALL_BODY_BYTES = 7200
SAMPLE_S = 0.01
WORK_S = 0.64
DEADLINE_MS = 3000
CALM_INTERVAL_S = 0.1
CALM_S = 2.0
UPLOADS = 3
# The rule's bounds: this many ends on each of so many hosts.
ENDS = 3
HOSTS = 2


def read_memory(pid: int) -> int:
    """Returns the most memory that a process has held, in bytes."""
    with contextlib.suppress(OSError):
        text = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
        for line in text.splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024
    return 0


async def scenario(
    stack: contextlib.AsyncExitStack, folder: pathlib.Path
) -> bool:
    """Plays the case; returns whether the rule held."""

    async def work(worker: rig_lib.Worker, request: rig_lib.Message) -> bytes:
        del worker, request
        await asyncio.sleep(WORK_S)
        return b"booked"

    rig = rig_lib.Rig(stack, folder, work)
    route = {
        "name": "booking-charge",
        "prefix": "/booking/",
        "kind": "unsafe",
        "timeout": "2500ms",
        "targetLatency": "400ms",
        "priority": 1,
        "attempts": 2,
        "backend": "bookings",
    }
    zones = list(rig.zones)
    workers = [
        rig_lib.Worker(rig, f"i-{n}", "bookings", zones[n % 2])
        for n in range(4)
    ]
    configuration = rig_lib.make_configuration([route], ["bookings"])
    await rig.start(configuration, workers, [zones[0], zones[1]])
    hosts = list(rig.hosts.values())
    await asyncio.sleep(2.0)
    ends = dict.fromkeys(rig.hosts, 0)
    most = 0

    async def watch(host: rig_lib.Host) -> None:
        nonlocal most
        while True:
            await asyncio.sleep(SAMPLE_S)
            process = host.process
            assert process is not None
            held = read_memory(process.pid)
            most = max(most, held)
            if held > MEMORY_BYTES:
                rig.record.write("over memoryMb", host=host.name, bytes=held)
                host.end()
                ends[host.name] += 1
            if process.poll() is not None:
                host.start()

    watchers = [asyncio.ensure_future(watch(host)) for host in hosts]
    calls = []

    def send(host: rig_lib.Host, target: str, size: int) -> None:
        call = rig.request(
            host,
            "POST",
            target,
            DEADLINE_MS,
            b"x" * size,
            note=f" ({size} bytes)",
        )
        calls.append(asyncio.ensure_future(call))

    async def send_calm(seconds: float) -> None:
        ends_at = rig.record.now() + seconds
        while rig.record.now() < ends_at:
            for host in hosts:
                send(host, "/booking/new", SMALL_BODY_BYTES)
            await asyncio.sleep(CALM_INTERVAL_S)

    for _ in range(UPLOADS):
        for host in hosts:
            await host.wait_ready()
        await send_calm(CALM_S)
        for host in hosts:
            size = LARGE_BODY_BYTES if rig.trouble else SMALL_BODY_BYTES
            send(host, "/booking/photo", size)
        await send_calm(CALM_S)
    answers = await asyncio.gather(*calls)
    for watcher in watchers:
        watcher.cancel()
    lost = 0
    for id_, answer in answers:
        lost += bool(rig.runs_of(id_)) and answer is None
    rig.record.write(
        "result",
        ends=ends,
        most_memory_bytes=most,
        run_without_answer=lost,
    )
    if not any(answer for _, answer in answers):
        raise RuntimeError("no request was served")
    fallen = sum(count >= ENDS for count in ends.values())
    return fallen < HOSTS


rig_lib.main(scenario)
