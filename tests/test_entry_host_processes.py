"""The entry host as a separate process."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys

import pytest
import yaml

from banyanshed import cli
from standins import servers as servers_lib
from tests import gateway_fleet

pytestmark = pytest.mark.processes

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAM = ROOT / "scripts" / "entry_host.py"
EXAMPLE = ROOT / "examples" / "platform-node.yaml"


def write_settings(path, fleet, ports):
    ip = gateway_fleet.host_ip(9)
    tree = yaml.safe_load(EXAMPLE.read_text())
    tree["ip"] = ip
    tree["zones"] = dict(gateway_fleet.ZONES)
    tree["zone"], tree["region"] = "a1", "a"
    names = ("front", "ready", "control", "directory")
    tree["listen"] = {
        name: f"{ip}:{port}" for name, port in zip(names, ports, strict=False)
    }
    tree["portRange"] = [ports[4], ports[4]]
    tree["seeds"] = []
    store_ip, store_port = fleet.store_address
    tree["provider"]["addr"] = f"{store_ip}:{store_port}"
    path.write_text(yaml.safe_dump(tree))
    return ip


class Program:
    """A running entry host process and its log."""

    def __init__(self, path, log, metrics_port):
        self.log = log
        command = [
            sys.executable,
            str(PROGRAM),
            f"--metrics_port={metrics_port}",
        ]
        with log.open("wb") as stream:
            self.process = subprocess.Popen(
                command,
                stdout=stream,
                env={**os.environ, "BANYANSHED_BOOT": str(path)},
            )

    def events(self, kind):
        lines = self.log.read_text().splitlines()
        events = [json.loads(line) for line in lines]
        return [event for event in events if event["message_type"] == kind]

    def close(self):
        self.process.kill()
        self.process.wait()


def test_a_host_serves_reloads_and_stops_gracefully(tmp_path):
    async def play():
        async with contextlib.AsyncExitStack() as stack:
            fleet = gateway_fleet.Fleet(stack)
            await fleet.start(hosts=0)
            ports = gateway_fleet.free_ports(6, gateway_fleet.host_ip(9))
            path = tmp_path / "node.yaml"
            ip = write_settings(path, fleet, ports)
            program = Program(path, tmp_path / "log", ports[5])
            stack.callback(program.close)
            await scenario(fleet, program, path, (ip, ports[0]))

    async def scenario(fleet, program, path, address):
        await fleet.wait_until(lambda: program.events("ready"))
        connection = await fleet.open(address)
        response = await connection.send(fleet.request())
        while response.status == 503:
            response = await connection.send(fleet.request())
        assert response.status == 200

        path.write_text(
            path.read_text().replace("budgetExtra=133", "budgetExtra=7")
        )
        program.process.send_signal(signal.SIGHUP)
        await fleet.wait_until(lambda: program.events("reloaded"))
        assert "retries" in program.events("reloaded")[0]["changed"]

        request_arrived = asyncio.Event()

        async def answer_late(exchange):
            request_arrived.set()
            await asyncio.sleep(1.0)
            await servers_lib.respond_ok(exchange)

        for server in fleet.servers.values():
            server.action = answer_late
        call = asyncio.ensure_future(connection.send(fleet.request()))
        await request_arrived.wait()
        program.process.send_signal(signal.SIGTERM)
        response = await call
        assert (response.status, response.body) == (200, b"ok")
        await fleet.wait_until(lambda: program.process.poll() is not None)
        assert program.process.returncode == 0
        assert program.events("stopped")[0]["cut"] == 0

    asyncio.run(play())


def test_invalid_settings_end_the_program_with_all_findings(tmp_path):
    path = tmp_path / "node.yaml"
    path.write_text(EXAMPLE.read_text().replace("grace=6s", "grace=6"))
    result = subprocess.run(
        [sys.executable, str(PROGRAM)],
        env={**os.environ, "BANYANSHED_BOOT": str(path)},
        capture_output=True,
        text=True,
        check=False,
    )
    assert result.returncode == 2
    assert "bounds.grace" in result.stderr
    assert "Traceback" not in result.stderr


def test_the_example_settings_have_no_findings(capsys):
    code = cli.main(["banyanshed", "settings", "check-platform", str(EXAMPLE)])
    assert code == 0
    assert "no findings" in capsys.readouterr().out
