"""Demo of an entry host between callers, the platform's store and servers.

The entry host is a process of its own; the test doubles of the platform's
store and of backend servers run in this process.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile

import yaml

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "src")]

from banyanshed.gateway import clients  # noqa: E402
from banyanshed.gateway import listeners  # noqa: E402
from banyanshed.gateway import messages  # noqa: E402
from standins import servers as servers_lib  # noqa: E402
from standins import store as store_lib  # noqa: E402

IP = "127.0.0.1"
KEY = "demo-key"
READY_WAIT_S = 20.0
PORT_NAMES = ("front", "ready", "control", "directory")


def free_ports(count: int) -> list[int]:
    """Returns ports that nobody listens on."""
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in socks:
            sock.bind((IP, 0))
        return [sock.getsockname()[1] for sock in socks]


def make_settings(ports: list[int], store_port: int) -> str:
    """Returns the settings that the platform would write for the host."""
    example = ROOT / "examples" / "platform-node.yaml"
    tree = yaml.safe_load(example.read_text(encoding="utf-8"))
    tree["ip"] = IP
    listen = zip(PORT_NAMES, ports, strict=False)
    tree["listen"] = {name: f"{IP}:{port}" for name, port in listen}
    tree["portRange"] = [ports[4], ports[4]]
    tree["seeds"] = []
    tree["provider"]["addr"] = f"{IP}:{store_port}"
    return yaml.safe_dump(tree)


def make_configuration(version: int, rate: int) -> dict[str, object]:
    """Returns a configuration as an operator would write it."""
    route = {
        "name": "board",
        "hostname": "board.example",
        "prefix": "/board/",
        "kind": "safe",
        "timeout": "2s",
        "targetLatency": "400ms",
        "attempts": 2,
        "backend": "fleet-board",
        "affinity": True,
    }
    customer = {"name": "club", "apiKeys": [KEY], "ratePerS": rate}
    return {
        "version": f"r{version}",
        "routes": [route],
        "backends": [{"name": "fleet-board"}],
        "tenants": [{**customer, "burst": rate}],
    }


async def send_request(
    address: tuple[str, int], number: int
) -> messages.Response:
    """Sends a caller's request on a new connection."""
    headers = [
        (b"host", b"board.example"),
        (b"x-api-key", KEY.encode()),
        (b"x-banyanshed-request-id", f"demo{number}".encode()),
        (b"x-banyanshed-affinity-key", b"buggy-7"),
    ]
    connection = await clients.open_connection(address, 2.0)
    try:
        request = messages.Request(b"GET", b"/board/free", headers)
        return await connection.send(request)
    finally:
        connection.abort()


async def register(
    store: store_lib.Store,
    server: servers_lib.BackendServer,
    state: str = "ready",
) -> None:
    """Writes a backend server's entry, as the server itself would."""
    ip, port = server.address
    info = {"backend": "fleet-board", "zone": "regina-yard", "slots": 4}
    status = {"state": state, "coldLeft": "0ms"}
    entry = {"addr": f"{ip}:{port}", "info": info, "status": status}
    await store.put("servers", server.id, {**entry, "born": 1})


async def run_demo(
    stack: contextlib.AsyncExitStack, folder: pathlib.Path
) -> None:
    """Runs the steps and prints their results."""
    store = store_lib.Store()
    *ports, store_port = free_ports(7)
    await listeners.listen((IP, store_port), store.listener, stack)
    servers = [servers_lib.BackendServer(f"server-{n}") for n in (1, 2)]
    for server in servers:
        await server.start(stack, IP)
        await register(store, server)
    await store.put("op", "config", make_configuration(1, 0))
    path = folder / "node.yaml"
    path.write_text(make_settings(ports, store_port), encoding="utf-8")
    log = stack.enter_context((folder / "log").open("wb"))
    program = subprocess.Popen(
        [
            sys.executable,
            str(ROOT / "scripts" / "entry_host.py"),
            f"--metrics_port={ports[5]}",
        ],
        stdout=log,
        env={**os.environ, "BANYANSHED_BOOT": str(path)},
    )
    stack.callback(program.kill)
    host = (IP, ports[0])

    async with asyncio.timeout(READY_WAIT_S):
        while True:
            with contextlib.suppress(clients.ConnectFailed):
                answer = await send_request(host, 0)
                if answer.status == 200:
                    break
            await asyncio.sleep(0.05)
    print(f"1. a request is served: {answer.status} {answer.body.decode()}")

    owner = next(server for server in servers if server.exchanges)
    await register(store, owner, "draining")
    await asyncio.sleep(1.0)
    served = len(owner.exchanges)
    answer = await send_request(host, 1)
    moved = len(owner.exchanges) == served
    print(f"2. {owner.id} drains: {answer.status}, by the other one: {moved}")

    await store.put("op", "config", make_configuration(2, 1))
    await asyncio.sleep(0.5)
    answers = [await send_request(host, 2 + number) for number in range(10)]
    refused = [answer for answer in answers if answer.status == 429]
    wait = refused[0].find(b"retry-after") or b""
    print(
        f"3. a limit of 1 a second: {len(refused)} of 10 refused, the first"
        f" may return after {wait.decode()} s"
    )

    program.send_signal(signal.SIGTERM)
    code = await asyncio.to_thread(program.wait)
    print(f"4. SIGTERM: the host ends with exit code {code}")
    lines = (folder / "log").read_text(encoding="utf-8").splitlines()
    stopped = json.loads(lines[-1])
    print(f"5. its last line: {stopped['message_type']} cut={stopped['cut']}")
    assert moved and refused and code == 0 and stopped["cut"] == 0


async def main() -> None:
    """Runs the demo in a temporary folder."""
    async with contextlib.AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        await run_demo(stack, pathlib.Path(folder))


if __name__ == "__main__":
    asyncio.run(main())
