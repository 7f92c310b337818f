import contextlib
import json
import threading

from cheroot import wsgi
import pytest

from banyanshed import cli
from banyanshed import operator_client
from banyanshed.core import models
from tests import conftest
from tests import test_operators


@pytest.fixture
def client(monkeypatch):
    """Serves the operator API on a loopback address."""
    client = test_operators.Client()
    server = wsgi.Server(("127.0.0.1", 0), client.application, numthreads=2)
    with contextlib.ExitStack() as stack:
        server.prepare()
        thread = threading.Thread(target=server.serve)
        thread.start()
        stack.callback(thread.join)
        stack.callback(server.stop)
        client.address = "{}:{}".format(*server.bind_addr)
        host = models.ListedHost(
            "sask-1", "sask", "a", client.address, "", models.HostState.LIVE
        )
        client.hosts = [host]
        client.daemon.hosts = lambda: tuple(client.hosts)
        monkeypatch.setenv("BANYANSHED_TOKEN", test_operators.TOKEN)
        monkeypatch.setattr(cli, "WAIT_INTERVAL_S", 0.001)
        yield client


@pytest.fixture
def run(client, capsys):
    def run_command(*words, entry=None):
        entry = entry or client.address
        code = cli.main(["banyanshed", f"--entry={entry}", *words])
        output = capsys.readouterr()
        return code, output.out, output.err

    return run_command


SHEET = """\
kind,region,service,weight,limit,shift_cap,tenant,rate,burst
region,sask,,,,,,,
region,alberta,,,,,,,
service,,board,,,,,,
placement,sask,board,100,9,1,,,
placement,alberta,board,50,9,1,,,
tenant,,,,,,club,5,5
"""


@pytest.fixture
def filled(run, tmp_path):
    path = tmp_path / "rows.csv"
    path.write_text(SHEET)
    assert run("rows", "import", str(path)) == (0, "version 1\n", "")
    return path


def test_table_is_shown_and_set(run, filled):
    assert run("table", "set", "placement/board/sask", "weight=40") == (
        0,
        "version 2\n",
        "",
    )
    code, output, _ = run("table", "show")
    assert code == 0
    assert [line.split() for line in output.splitlines()] == [
        ["service", "region", "weight", "limit", "shift_cap", "version"],
        ["board", "alberta", "50", "9", "1", "1"],
        ["board", "sask", "40", "9", "1", "2"],
        ["version", "2"],
    ]
    assert run("table", "set", "region/sask", "distances_ms=alberta=20")[0] == 0
    assert run("table", "set", "tenant/new", "rate=1", "burst=1")[0] == 0
    assert run("table", "delete", "tenant/new")[0] == 0
    assert (
        run("table", "delete", "tenant/new")[0]
        == operator_client.ExitCode.REFUSED
    )


def test_a_lost_race_prints_both_values(run, filled):
    name = "placement/board/sask"
    run("table", "set", name, "weight=40")
    code, _, errors = run("--row_version=1", "table", "set", name, "weight=7")
    assert code == operator_client.ExitCode.LOST_RACE
    assert "error [lost_race]" in errors
    assert '"weight": 40' in errors
    assert '"weight": 7' in errors
    # An imported sheet is conditional on the row versions that it contains.
    code, sheet, _ = run("rows", "export", "placement")
    run("table", "set", name, "weight=41")
    filled.write_text(sheet.replace("40", "8"))
    code, _, errors = run("rows", "import", str(filled))
    assert code == operator_client.ExitCode.LOST_RACE
    assert '"weight": 41' in errors


def test_all_findings_of_a_sheet_are_printed(run, filled):
    filled.write_text(SHEET.replace("100", "101").replace(",5,5", ",x,5"))
    code, _, errors = run("rows", "import", str(filled))
    assert code == operator_client.ExitCode.FINDINGS
    assert "line 5, column weight: " in errors
    assert "line 7, column rate: " in errors


def test_drains_are_planned_listed_and_cancelled(run, filled):
    plan = ("drain", "plan", "d1", "board")
    lasts = "--lasts_s=600"
    assert run("--region=sask", lasts, "--starts_in_s=60", *plan)[0] == 0
    assert run(lasts, *plan)[0] == operator_client.ExitCode.USAGE
    assert run("--region=sask", *plan)[0] == operator_client.ExitCode.USAGE
    again = run("--region=sask", lasts, *plan)
    assert again[0] == operator_client.ExitCode.LOST_RACE
    listed = run("drain", "list")[1].splitlines()[1].split()
    assert listed[:3] == ["d1", "board", "sask"]
    assert int(listed[4]) - int(listed[3]) == 600
    assert run("drain", "cancel", "d1")[0] == 0
    assert run("drain", "list")[1].count("\n") == 1


def test_a_key_is_issued_and_withdrawn(run, filled):
    code, output, _ = run("key", "issue", "club", "shop")
    assert code == 0
    lines = dict(line.split() for line in output.splitlines())
    assert lines["key"].startswith("bsk_")
    shown = run("table", "show", "key")[1]
    assert lines["digest"] in shown
    assert lines["key"] not in shown
    assert run("key", "withdraw", lines["digest"])[0] == 0
    assert (
        run("key", "withdraw", lines["digest"])[0]
        == operator_client.ExitCode.REFUSED
    )


def test_state_and_wait_ask_every_live_host(run, filled, client):
    assert json.loads(run("state")[1]) == {"host": "sask-1"}
    assert json.loads(run("state", "all")[1])["sask-1"] == {"host": "sask-1"}
    assert run("wait", "1")[0] == 0
    short = "--timeout_s=0.1"
    code, _, errors = run(short, "wait", "2")
    assert code == operator_client.ExitCode.TIMED_OUT
    assert "sask-1" in errors
    gone = models.ListedHost(
        "sask-2", "sask", "a", "127.0.0.1:9", "", models.HostState.LIVE
    )
    client.hosts.append(gone)
    assert run(short, "wait", "1")[0] == operator_client.ExitCode.TIMED_OUT
    code, output, _ = run("state", "all")
    assert code == operator_client.ExitCode.UNREACHABLE
    assert json.loads(output)["sask-2"] == {"error": "unreachable"}


@pytest.mark.parametrize(
    ("faults", "failing_reads", "expected"),
    [
        (["down"], 0, operator_client.ExitCode.UNREACHABLE),
        ([], 1, operator_client.ExitCode.UNREACHABLE),
        (["lost"], 99, operator_client.ExitCode.UNREACHABLE),
        (["silent"] * 9, 0, operator_client.ExitCode.UNKNOWN),
        (["lost"], 0, operator_client.ExitCode.DONE),
    ],
)
def test_store_faults_have_exit_codes(
    run, client, faults, failing_reads, expected
):
    client.table.faults = faults
    client.table.failing_reads = failing_reads
    assert run("table", "set", "tenant/a", "rate=1", "burst=1")[0] == expected


def test_an_unreachable_host_is_passed_over(run, filled, client):
    assert run("state", entry=f"127.0.0.1:9,{client.address}")[0] == 0
    code, _, errors = run("state", entry="127.0.0.1:9")
    assert code == operator_client.ExitCode.UNREACHABLE
    assert "error [unreachable]" in errors


@pytest.mark.parametrize(
    "words",
    [
        (),
        ("table",),
        ("table", "show", "a", "b"),
        ("table", "set", "tenant/a", "rate"),
        ("table", "set", "tenant/a/b", "rate=1"),
        ("table", "set", "region/a", "distances_ms=b"),
        ("rows", "import", "/no/such/file"),
        ("wait", "soon"),
        ("state", "none"),
        ("--colour=1", "state"),
        ("--timeout_s=x", "state"),
    ],
)
def test_wrong_command_lines_exit_with_usage(run, words):
    code, _, errors = run(*words)
    assert code == operator_client.ExitCode.USAGE
    assert errors.startswith("error [usage]: ")


def test_a_wrong_or_missing_token_is_refused_and_not_shown(run, monkeypatch):
    monkeypatch.setenv("BANYANSHED_TOKEN", "wr0ng")
    code, output, errors = run("state")
    assert code == operator_client.ExitCode.REFUSED
    assert "wr0ng" not in output + errors
    for token in ("", "wr\n0ng", "wrong\x7f"):
        monkeypatch.setenv("BANYANSHED_TOKEN", token)
        code, output, errors = run("state")
        assert code == operator_client.ExitCode.USAGE
        assert "0ng" not in output + errors


def test_settings_are_checked_with_all_findings(run, tmp_path):
    example = conftest.ROOT / "examples" / "halvorsen.yaml"
    assert run("settings", "check", str(example))[0] == 0
    broken = tmp_path / "broken.yaml"
    text = example.read_text(encoding="utf-8")
    text = text.replace("threads: 32", "threads: 0\ncolour: red")
    broken.write_text(text, encoding="utf-8")
    code, _, errors = run("settings", "check", str(broken))
    assert code == operator_client.ExitCode.FINDINGS
    assert "field threads" in errors
    assert "field colour" in errors
    broken.write_bytes(b"\xff")
    assert (
        run("settings", "check", str(broken))[0]
        == operator_client.ExitCode.FINDINGS
    )


def test_help_lists_commands_and_flags(run, capsys):
    assert cli.main(["banyanshed", "--help"]) == 0
    output = capsys.readouterr().out
    for words in cli.COMMANDS:
        assert " ".join(words) in output
    assert "--token_file" in output
