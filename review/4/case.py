"""A late write of a server's earlier heartbeat revokes its leaving.

Without the disruption every call of the server is answered at once.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import platform  # noqa: E402

ZONES = {"a1": "a", "b1": "b"}
REQUESTS_PER_S = 60.0
WORK_S = 0.3
DRAIN_S = 2.5
BEAT_S = 1.5
# From the lost answer to the report of leaving, and to the late write.
LEAVES_AFTER_S = 3.2
LATE_AFTER_S = 5.8
# A leaving server goes on serving for drain and a little longer.
EXIT_AFTER_S = 3.2


class LeavingServer:
    """Lets a server leave after one of its heartbeats got no answer."""

    def __init__(self, site, server):
        """Takes the server, whose own heartbeats end here."""
        self.site = site
        self.server = server
        self.tasks = []
        self.left_at = 0.0
        server.beating.cancel()

    async def run(self):
        """Returns once the server has exited."""
        server, record = self.server, self.site.record
        server.seq += 1
        earlier = server.entry()
        if platform.has_trouble():
            record.add(f"a heartbeat of {server.id}, ready, gets no answer")
            self.tasks.append(asyncio.ensure_future(self._write_late(earlier)))
        else:
            await self.site.store.put("servers", server.id, earlier)
        lost_at = record.now()
        for _ in range(2):
            await asyncio.sleep(BEAT_S)
            await self._beat()
        await asyncio.sleep(lost_at + LEAVES_AFTER_S - record.now())
        server.state = "draining"
        await self._beat()
        self.left_at = record.now()
        record.add(f"store acknowledges that {server.id} is draining")
        for _ in range(2):
            await asyncio.sleep(BEAT_S)
            await self._beat()
        await asyncio.sleep(self.left_at + EXIT_AFTER_S - record.now())
        await self.site.store.remove("servers", server.id)
        server.crash()

    async def _beat(self):
        self.server.seq += 1
        entry = self.server.entry()
        await self.site.store.put("servers", self.server.id, entry)

    async def _write_late(self, entry):
        await asyncio.sleep(LATE_AFTER_S)
        record = self.site.record
        record.add(f"store performs the call of {self.server.id} of before")
        await self.site.store.put("servers", self.server.id, entry)


async def scenario(site):
    """Runs the case; returns whether the rule was broken."""
    record = site.record
    routes = [
        platform.route("board", "safe", "board"),
        platform.route("booking", "unsafe", "board", attempts=1),
    ]
    await site.start_store(platform.configuration(routes, [{"name": "board"}]))
    for number in range(4):
        await site.add_server(f"i-{number}", "board", slots=16, work_s=WORK_S)
    await site.start_hosts(["a1", "b1", "a1", "b1"])
    sending = asyncio.ensure_future(
        platform.send_steadily(site, "booking", "POST", REQUESTS_PER_S)
    )
    await asyncio.sleep(3.0)
    server = site.servers["i-0"]
    leaving = LeavingServer(site, server)
    await leaving.run()
    await asyncio.sleep(1.0)
    sending.cancel()
    bound = leaving.left_at + DRAIN_S
    late = [run.at for run in server.runs if run.at > bound]
    lost = sum(answer.status == 502 for answer in site.answers)
    record.add(f"requests that ran later than drain: {len(late)}, allowed: 0")
    record.add(f"requests that ended with 502: {lost}")
    return bool(late)


platform.run_case(FOLDER, scenario, ZONES)
