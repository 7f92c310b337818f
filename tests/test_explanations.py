"""Causes of failures are found from the hosts' logs alone."""

import asyncio
import json
import os

import pytest

from banyanshed import cli
from banyanshed import explanations
from banyanshed import operator_client
from banyanshed.gateway import logs
from tests import gateway_fleet


def run_logged(scenario, path, **fields):
    """Runs a scenario and writes all log lines to a file."""
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT)
    logs.start(descriptor, "h1")
    try:
        gateway_fleet.run_scenario(scenario, **fields)
    finally:
        logs.stop()
        os.close(descriptor)


def explain(path, request_id, capsys):
    assert cli.main(["banyanshed", "explain", request_id, str(path)]) == 0
    return capsys.readouterr().out


def test_a_refusal_for_quota_is_explained(tmp_path, capsys):
    ids = []

    async def scenario(fleet):
        for _ in range(20):
            response = await fleet.call()
            if response.status == 429:
                ids.append(f"id{fleet.request_number}")
                return

    customers = [
        {
            "name": "club",
            "apiKeys": [gateway_fleet.API_KEY],
            "ratePerS": 1,
            "burst": 5,
        }
    ]
    path = tmp_path / "log"
    config = gateway_fleet.configuration(customers=customers)
    run_logged(scenario, path, config=config)
    text = explain(path, ids[0], capsys)
    assert "reason=over_quota" in text
    assert "customer=club rate=1 burst=5 tokens=" in text
    assert "configuration_in_force version=1" in text


def test_a_failure_after_the_attempts_is_explained(tmp_path, capsys):
    async def scenario(fleet):
        async def send_malformed_response(exchange):
            exchange.write(b"nonsense\r\n\r\n")
            exchange.close()

        for server in fleet.servers.values():
            server.action = send_malformed_response
        assert (await fleet.call()).status == 502

    path = tmp_path / "log"
    run_logged(scenario, path)
    text = explain(path, "id1", capsys)
    assert "ending=failed status=502" in text
    assert "reason=malformed response" in text
    [request] = explanations.explain(
        "id1", explanations.parse_lines(path.read_text().splitlines())
    ).requests
    attempts = request.fields["attempts"]
    assert {attempt[0] for attempt in attempts} == {"i1", "i2"}
    assert {attempt[1] for attempt in attempts} == {"failure"}


def test_a_timeout_and_a_stop_are_explained(tmp_path, capsys):
    async def scenario(fleet):
        async def sleep(exchange):
            await asyncio.sleep(5.0)

        for server in fleet.servers.values():
            server.action = sleep
        call = asyncio.ensure_future(fleet.call())
        await asyncio.sleep(0.1)
        fleet.hosts["h1"].stopping.set()
        assert (await call).status == 504

    path = tmp_path / "log"
    routes = [gateway_fleet.route(timeout="500ms")]
    config = gateway_fleet.configuration(1, routes)
    run_logged(scenario, path, config=config)
    text = explain(path, "id1", capsys)
    assert "ending=timed_out status=504" in text
    assert "stopping" in text


def test_an_unknown_request_id_is_reported(tmp_path, capsys):
    path = tmp_path / "log"
    path.write_text("noise\n{}\n[1]\n{broken\n")
    assert cli.main(["banyanshed", "explain", "x", str(path)]) == 1
    assert "not_found" in capsys.readouterr().err


def test_logging_never_blocks_and_counts_what_it_drops():
    reader, writer = os.pipe()
    output = logs.start(writer, "h1")
    try:
        for number in range(20_000):
            logs.log_request("request", True, request_id=str(number))
            output.routine.tokens = 100.0
        assert output.dropped > 0
        assert output.buffered_bytes <= logs.MAX_BUFFERED_BYTES
        data = b""
        while len(data) < 100_000:
            data += os.read(reader, 65536)
            output.flush()
        for line in data.split(b"\n")[:-1]:
            assert json.loads(line)["message_type"] == "request"
    finally:
        logs.stop()
        os.close(reader)
        os.close(writer)


@pytest.fixture(name="output")
def start_output():
    """Starts logging to a pipe that is not read."""
    reader, writer = os.pipe()
    yield logs.start(writer, "h1")
    logs.stop()
    os.close(reader)
    os.close(writer)


def test_successes_are_sampled_and_refusals_are_not(output):
    for _ in range(300):
        logs.log_request("request", True)
    dropped = output.dropped
    assert dropped > 0
    for _ in range(300):
        logs.log_request("request", False)
    assert output.dropped == dropped


def test_state_changes_are_logged_while_many_requests_are_refused(output):
    for _ in range(5000):
        logs.log_request("request", False)
    dropped = output.dropped
    assert dropped > 0
    for _ in range(100):
        logs.log_event("server_gone", server="i1")
    assert output.dropped == dropped


def test_platform_settings_are_checked(tmp_path, capsys):
    path = tmp_path / "node.yaml"
    path.write_text("node: x\n")
    arguments = ["banyanshed", "settings", "check-platform", str(path)]
    assert cli.main(arguments) == operator_client.ExitCode.FINDINGS
    error = capsys.readouterr().err
    assert "listen.front" in error and "bounds" in error
