"""Command line for operators.

Usage:
    banyanshed [FLAGS] table show [KIND]
    banyanshed [FLAGS] table set KIND/NAME[/NAME] COLUMN=VALUE ...
    banyanshed [FLAGS] table delete KIND/NAME[/NAME]
    banyanshed [FLAGS] rows import FILE|-
    banyanshed [FLAGS] rows export [KIND]
    banyanshed [FLAGS] drain plan DRAIN SERVICE --region=R|--backend=B
                       --lasts_s=SECONDS [--starts_in_s=SECONDS]
    banyanshed [FLAGS] drain list
    banyanshed [FLAGS] drain cancel DRAIN
    banyanshed [FLAGS] key issue TENANT [LABEL]
    banyanshed [FLAGS] key withdraw DIGEST
    banyanshed [FLAGS] state [all]
    banyanshed [FLAGS] wait VERSION
    banyanshed settings check FILE
    banyanshed settings check-platform FILE
    banyanshed explain REQUEST-ID LOG-FILE ...

Exit codes:
    0  done
    1  the command failed for another reason
    2  the command line is wrong
    3  the input was refused whole; all findings are printed
    4  others changed the rows since they were read; both values are printed
    5  the call was refused: no such row, or no right to it
    6  no host or no store could be reached; nothing was changed
    7  no answer came; the change may be in force
    8  the version was not in force everywhere in time
"""

from collections.abc import Callable, Mapping, Sequence
import dataclasses
import json
import os
import pathlib
import sys
import time
from typing import Any

from absl import flags

from banyanshed import exceptions
from banyanshed import explanations
from banyanshed import operator_client
from banyanshed import settings
from banyanshed.core import rows
from banyanshed.platform import settings as platform_settings

TOKEN_VARIABLE = "BANYANSHED_TOKEN"
CSV_TYPE = "text/csv"
WAIT_INTERVAL_S = 0.2

FLAGS = flags.FlagValues()
ENTRY = flags.DEFINE_list(
    "entry",
    ["127.0.0.1:8101"],
    "IP:port of entry hosts; the first reachable one is used.",
    flag_values=FLAGS,
)
TOKEN_FILE = flags.DEFINE_string(
    "token_file",
    None,
    f"File with the operator's token; defaults to ${TOKEN_VARIABLE}.",
    flag_values=FLAGS,
)
TIMEOUT_S = flags.DEFINE_float(
    "timeout_s",
    30.0,
    "Timeout of a call and of `wait`, in seconds.",
    lower_bound=0.1,
    flag_values=FLAGS,
)
ROW_VERSION = flags.DEFINE_integer(
    "row_version",
    None,
    "Version the row had when you read it; defaults to the current one.",
    flag_values=FLAGS,
)
REGION = flags.DEFINE_string(
    "region", None, "Region to drain.", flag_values=FLAGS
)
BACKEND = flags.DEFINE_string(
    "backend", None, "Backend server to drain.", flag_values=FLAGS
)
STARTS_IN_S = flags.DEFINE_float(
    "starts_in_s", 0.0, "Seconds until a drain starts.", flag_values=FLAGS
)
LASTS_S = flags.DEFINE_float(
    "lasts_s", None, "Duration of a drain, in seconds.", flag_values=FLAGS
)


def show_table(
    client: operator_client.OperatorClient, kind: str = "placement"
) -> None:
    """Prints all rows of a kind as an aligned table."""
    shown = client.get("rows", kind=kind)
    header: list[str] = []
    for row in shown["rows"]:
        for column in row["value"]:
            if column not in header and column != "kind":
                header.append(column)
    lines = [[*header, "version"]]
    for row in sorted(shown["rows"], key=_row_key):
        cells = [str(row["value"].get(column, "")) for column in header]
        lines.append([*cells, str(row["version"])])
    _print_aligned(lines)
    for finding in shown["findings"]:
        print(exceptions.Finding(**finding), file=sys.stderr)
    print(f"version {shown['version']}")


def set_cells(
    client: operator_client.OperatorClient, name: str, *cells: str
) -> None:
    """Adds or changes a row; an empty VALUE in COLUMN=VALUE clears it."""
    key = rows.CONFIG_PREFIX + name
    stored = client.get("rows", key=key)["rows"][0]
    value = dict(stored["value"] or _new_row_value(name))
    for cell in cells:
        column, separator, content = cell.partition("=")
        if not separator:
            raise _usage_error(f"expected COLUMN=VALUE, not {cell!r}")
        if not content:
            value.pop(column, None)
            continue
        value[column] = _parse_cell(column, content)
    _post_edit(client, key, stored["version"], value)


def delete_row(client: operator_client.OperatorClient, name: str) -> None:
    """Deletes a row."""
    key = rows.CONFIG_PREFIX + name
    stored = client.get("rows", key=key)["rows"][0]
    if stored["value"] is None:
        raise operator_client.CommandFailed(
            operator_client.ExitCode.REFUSED,
            "unknown_row",
            f"there is no row {name}",
        )
    _post_edit(client, key, stored["version"], None)


def import_rows(client: operator_client.OperatorClient, path: str) -> None:
    """Writes the rows of a CSV file, or of standard input for "-"."""
    content = sys.stdin.buffer.read() if path == "-" else _read_file(path)
    answer = client.call("POST", "sheet", content, CSV_TYPE)
    _print_version(json.loads(answer))


def export_rows(client: operator_client.OperatorClient, kind: str = "") -> None:
    """Prints rows as CSV."""
    query = {"kind": kind} if kind else None
    answer = client.call("GET", "export", query=query)
    sys.stdout.write(answer.decode())


def plan_drain(
    client: operator_client.OperatorClient, drain: str, service: str
) -> None:
    """Plans a drain of a region of a service, or of a backend server."""
    if LASTS_S.value is None:
        raise _usage_error("--lasts_s is required")
    if (REGION.value is None) == (BACKEND.value is None):
        raise _usage_error("give exactly one of --region and --backend")
    value = {
        "drain": drain,
        "service": service,
        "starts_in_s": STARTS_IN_S.value,
        "lasts_s": LASTS_S.value,
    }
    if REGION.value is not None:
        value["region"] = REGION.value
    if BACKEND.value is not None:
        value["backend"] = BACKEND.value
    _print_version(client.post("drain", value))


def list_drains(client: operator_client.OperatorClient) -> None:
    """Prints all drains with the seconds until they start and end."""
    answer = client.get("drains")
    now_s = answer["now_s"]
    lines = [["drain", "service", "target", "starts_in_s", "ends_in_s"]]
    for row in sorted(answer["drains"], key=_row_key):
        value = row["value"]
        lines.append(
            [
                value["drain"],
                value["service"],
                value.get("region") or value.get("backend") or "",
                f"{value['starts_s'] - now_s:.0f}",
                f"{value['ends_s'] - now_s:.0f}",
            ]
        )
    _print_aligned(lines)


def cancel_drain(client: operator_client.OperatorClient, drain: str) -> None:
    """Cancels a drain."""
    _print_version(client.post("cancel_drain", {"drain": drain}))


def issue_key(
    client: operator_client.OperatorClient, tenant: str, label: str = ""
) -> None:
    """Issues a key and prints it; it is not shown again."""
    answer = client.post("key", {"tenant": tenant, "label": label})
    print(f"key {answer['key']}")
    print(f"digest {answer['digest']}")
    _print_version(answer)


def withdraw_key(client: operator_client.OperatorClient, digest: str) -> None:
    """Withdraws a key."""
    _print_version(client.post("withdraw_key", {"digest": digest}))


def show_state(
    client: operator_client.OperatorClient, scope: str = "one"
) -> None:
    """Prints the state of one host, or of all as JSON keyed by host."""
    if scope == "one":
        print(json.dumps(client.get("state"), indent=2))
        return
    if scope != "all":
        raise _usage_error("expected `state` or `state all`")
    states: dict[str, Any] = {}
    failed = []
    for host in client.get("hosts")["hosts"]:
        try:
            states[host["host"]] = _single_host_client(client, host).get(
                "state"
            )
        except operator_client.CommandFailed as error:
            states[host["host"]] = {"error": error.code}
            failed.append(host["host"])
    print(json.dumps(states, indent=2))
    if failed:
        raise operator_client.CommandFailed(
            operator_client.ExitCode.UNREACHABLE,
            "unreachable",
            f"could not read the state of {', '.join(failed)}",
        )


def wait(client: operator_client.OperatorClient, version: str) -> None:
    """Waits until a version is in force on all live hosts."""
    if not (version.isascii() and version.isdigit()):
        raise _usage_error("VERSION must be a number")
    ends_s = time.monotonic() + TIMEOUT_S.value
    while True:
        lagging = _lagging_hosts(client, int(version))
        if not lagging:
            print(f"version {version} is in force on all live hosts")
            return
        if time.monotonic() >= ends_s:
            raise operator_client.CommandFailed(
                operator_client.ExitCode.TIMED_OUT,
                "not_in_force",
                f"not in force on {', '.join(lagging)}",
            )
        time.sleep(WAIT_INTERVAL_S)


def check_settings(path: str) -> None:
    """Checks a settings file and prints all findings."""
    try:
        text = _read_file(path).decode("utf-8")
    except UnicodeDecodeError as error:
        raise operator_client.CommandFailed(
            operator_client.ExitCode.FINDINGS,
            "encoding",
            f"byte {error.start}: not valid UTF-8",
        ) from error
    try:
        settings.load(text)
    except exceptions.InvalidSettings as error:
        raise operator_client.CommandFailed(
            operator_client.ExitCode.FINDINGS,
            error.code,
            *(str(finding) for finding in error.findings),
        ) from None
    print(f"{path} is valid")


def _lagging_hosts(
    client: operator_client.OperatorClient, version: int
) -> list[str]:
    lagging = []
    hosts = client.get("hosts")["hosts"]
    if not hosts:
        return ["any host"]
    for host in hosts:
        if host["state"] != "live":
            continue
        try:
            if (
                _single_host_client(client, host).get("version")["version"]
                >= version
            ):
                continue
        except operator_client.CommandFailed as error:
            if error.exit_code != operator_client.ExitCode.UNREACHABLE:
                raise
        lagging.append(host["host"])
    return lagging


def _single_host_client(
    client: operator_client.OperatorClient, host: Mapping[str, str]
) -> operator_client.OperatorClient:
    """Returns a client for one host that shares the connection pool."""
    single = operator_client.OperatorClient(
        [host["caller_address"]], client.token, 1
    )
    single.pool = client.pool
    return single


def _new_row_value(name: str) -> dict[str, Any]:
    kind, *names = name.split("/")
    columns = rows.KEY_COLUMNS.get(kind, ())
    if len(columns) != len(names):
        raise _usage_error(f"{name!r} is not the name of a row")
    value: dict[str, Any] = {"kind": kind}
    value.update(zip(columns, names, strict=True))
    if "cidr" in value:
        value["cidr"] = value["cidr"].replace("_", "/")
    return value


def _parse_cell(column: str, content: str) -> Any:
    if column != "distances_ms":
        return content
    distances = {}
    for item in content.split():
        region, separator, distance = item.partition("=")
        if not separator:
            raise _usage_error(f"expected REGION=NUMBER, not {item!r}")
        distances[region] = distance
    return distances


def _post_edit(
    client: operator_client.OperatorClient,
    key: str,
    version: int,
    value: Mapping[str, Any] | None,
) -> None:
    if ROW_VERSION.value is not None:
        version = ROW_VERSION.value
    edit = {"key": key, "version": version, "value": value}
    _print_version(client.post("edit", {"edits": [edit]}))


def _print_version(answer: Mapping[str, Any]) -> None:
    print(f"version {answer['version']}")


def _print_aligned(lines: Sequence[Sequence[str]]) -> None:
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        cells = [
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ]
        print("  ".join(cells).rstrip())


def _row_key(row: Mapping[str, Any]) -> str:
    return str(row["key"])


def check_platform_settings(path: str) -> None:
    """Checks a platform settings file and prints all findings."""
    text = _read_file(path).decode("utf-8", "replace")
    try:
        host = platform_settings.decode(text)
    except exceptions.InvalidSettings as error:
        raise operator_client.CommandFailed(
            operator_client.ExitCode.FINDINGS,
            error.code,
            *map(str, error.findings),
        ) from error
    print(
        f"{path}: host {host.host} in {host.zone}, {host.region}: no findings"
    )


def explain(request_id: str, *paths: str) -> None:
    """Prints what the hosts' logs record of a request, in time order."""
    events = []
    for path in paths:
        text = _read_file(path).decode("utf-8", "replace")
        events.extend(explanations.parse_lines(text.splitlines()))
    found = explanations.explain(request_id, events)
    if not found.requests:
        raise operator_client.CommandFailed(
            operator_client.ExitCode.FAILED,
            "not_found",
            f"no log line has request id {request_id}: not received or not"
            " logged",
        )
    print("Before:")
    for event in found.changes:
        print(f"  {event}")
    print("The request:")
    for event in found.requests:
        print(f"  {event}")


def _read_file(path: str) -> bytes:
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        raise _usage_error(f"{path}: {error.strerror}") from error


def _usage_error(line: str) -> operator_client.CommandFailed:
    return operator_client.CommandFailed(
        operator_client.ExitCode.USAGE, "usage", line
    )


@dataclasses.dataclass(frozen=True)
class Command:
    """A command and the number of arguments that it accepts."""

    function: Callable[..., None]
    min_arguments: int
    max_arguments: float
    needs_host: bool = True


COMMANDS: dict[tuple[str, ...], Command] = {
    ("table", "show"): Command(show_table, 0, 1),
    ("table", "set"): Command(set_cells, 2, float("inf")),
    ("table", "delete"): Command(delete_row, 1, 1),
    ("rows", "import"): Command(import_rows, 1, 1),
    ("rows", "export"): Command(export_rows, 0, 1),
    ("drain", "plan"): Command(plan_drain, 2, 2),
    ("drain", "list"): Command(list_drains, 0, 0),
    ("drain", "cancel"): Command(cancel_drain, 1, 1),
    ("key", "issue"): Command(issue_key, 1, 2),
    ("key", "withdraw"): Command(withdraw_key, 1, 1),
    ("state",): Command(show_state, 0, 1),
    ("wait",): Command(wait, 1, 1),
    ("settings", "check"): Command(check_settings, 1, 1, needs_host=False),
    ("settings", "check-platform"): Command(
        check_platform_settings, 1, 1, needs_host=False
    ),
    ("explain",): Command(explain, 2, float("inf"), needs_host=False),
}


def _dispatch(arguments: Sequence[str]) -> None:
    for length in (1, 2):
        command = COMMANDS.get(tuple(arguments[:length]))
        if command is None:
            continue
        rest = arguments[length:]
        if not command.min_arguments <= len(rest) <= command.max_arguments:
            raise _usage_error(
                f"wrong number of arguments after {arguments[length - 1]}"
            )
        if not command.needs_host:
            command.function(*rest)
            return
        client = operator_client.OperatorClient(
            ENTRY.value, _read_token(), TIMEOUT_S.value
        )
        command.function(client, *rest)
        return
    raise _usage_error("unknown command; see `banyanshed help`")


def _read_token() -> str:
    if TOKEN_FILE.value is not None:
        token = _read_file(TOKEN_FILE.value).decode("ascii", "replace")
    else:
        token = os.environ.get(TOKEN_VARIABLE, "")
    token = token.strip()
    if not token:
        raise _usage_error(
            f"set the token with --token_file or ${TOKEN_VARIABLE}"
        )
    if not (token.isascii() and token.isprintable()):
        raise _usage_error("the token holds invalid characters")
    return token


def main(arguments: Sequence[str]) -> operator_client.ExitCode:
    """Runs one command; arguments[0] is the program's name."""
    if not {"help", "--help", "-h"}.isdisjoint(arguments[1:2]):
        print(__doc__)
        print(FLAGS.get_help())
        return operator_client.ExitCode.DONE
    for name in FLAGS:
        FLAGS[name].unparse()
    try:
        positionals = FLAGS(list(arguments))[1:]
        _dispatch(positionals)
    except flags.Error as error:
        print(f"error [usage]: {error}", file=sys.stderr)
        return operator_client.ExitCode.USAGE
    except operator_client.CommandFailed as error:
        print(f"error [{error.code}]: {error.lines[0]}", file=sys.stderr)
        for line in error.lines[1:]:
            print(line, file=sys.stderr)
        return error.exit_code
    return operator_client.ExitCode.DONE


def run() -> None:
    """Entry point of the program."""
    sys.exit(main(sys.argv))


if __name__ == "__main__":
    run()
