"""HTTP client of the operator API; maps its responses to exit codes."""

from collections.abc import Mapping, Sequence
import enum
import json
from typing import Any
import urllib.parse

import urllib3

from banyanshed import exceptions

JSON_TYPE = "application/json"


class ExitCode(enum.IntEnum):
    """Exit code of a command."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    FINDINGS = 3
    LOST_RACE = 4
    REFUSED = 5
    UNREACHABLE = 6
    UNKNOWN = 7
    TIMED_OUT = 8


EXIT_CODE_BY_STATUS = {
    401: ExitCode.REFUSED,
    404: ExitCode.REFUSED,
    409: ExitCode.LOST_RACE,
    422: ExitCode.FINDINGS,
    503: ExitCode.UNREACHABLE,
    504: ExitCode.UNKNOWN,
}


class CommandFailed(exceptions.BanyanshedError):
    """A command failed.

    Attributes:
        exit_code: Exit code of the program.
        code: Stable machine-readable code of the reason.
        lines: Human-readable lines to print.
    """

    def __init__(self, exit_code: ExitCode, code: str, *lines: str):
        """Creates an error from an exit code, a code and lines to print."""
        super().__init__(code)
        self.exit_code = exit_code
        self.code = code
        self.lines = lines


class OperatorClient:
    """Calls the operator API of entry hosts."""

    def __init__(self, addresses: Sequence[str], token: str, timeout_s: float):
        """Creates a client of hosts given as "IP:port"; timeout in seconds."""
        self.addresses = addresses
        self.token = token
        self.pool = urllib3.PoolManager(
            retries=False, timeout=urllib3.Timeout(total=timeout_s)
        )

    def get(self, path: str, **query: str) -> Any:
        """Returns the decoded JSON response of a GET call."""
        return json.loads(self.call("GET", path, query=query))

    def post(self, path: str, value: Mapping[str, Any]) -> Any:
        """Returns the decoded JSON response of a POST call; it may write."""
        content = json.dumps(value).encode()
        return json.loads(self.call("POST", path, content))

    def call(
        self,
        method: str,
        path: str,
        content: bytes | None = None,
        content_type: str = JSON_TYPE,
        query: Mapping[str, str] | None = None,
    ) -> bytes:
        """Returns the response body of the first reachable host.

        A call that may write is not sent to another host once it may have
        reached one.

        Raises:
            CommandFailed: It was refused, or no complete response arrived.
        """
        target = f"/operator/{path}"
        if query:
            target += "?" + urllib.parse.urlencode(query)
        headers = {"Authorization": f"Bearer {self.token}"}
        if content is not None:
            headers["Content-Type"] = content_type
        for address in self.addresses:
            try:
                response = self.pool.request(
                    method,
                    f"http://{address}{target}",
                    body=content,
                    headers=headers,
                    redirect=False,
                )
            except (
                urllib3.exceptions.NewConnectionError,
                urllib3.exceptions.ConnectTimeoutError,
            ):
                continue
            except urllib3.exceptions.HTTPError as error:
                if method == "GET":
                    continue
                raise CommandFailed(
                    ExitCode.UNKNOWN,
                    "no_answer",
                    f"{address} did not respond; the change may be in force",
                ) from error
            if response.status == 200:
                return response.data
            raise _failure_from(response)
        raise CommandFailed(
            ExitCode.UNREACHABLE,
            "unreachable",
            f"none of {', '.join(self.addresses)} is reachable",
        )


def _failure_from(response: urllib3.BaseHTTPResponse) -> CommandFailed:
    try:
        problem = json.loads(response.data)
        code = str(problem["code"])
        lines = [str(problem["detail"])]
        for finding in problem.get("findings", ()):
            lines.append(str(exceptions.Finding(**finding)))
        for row in problem.get("rows", ()):
            lines.append(f"{row['key']} at version {row['version']}")
            lines.append(f"  stored: {json.dumps(row['value'])}")
            lines.append(f"  yours:  {json.dumps(row['yours'])}")
        if "digest" in problem:
            lines.append(f"withdraw key {problem['digest']} if it exists")
    except (ValueError, KeyError, TypeError):
        code = "malformed_answer"
        lines = [f"unexpected response with status {response.status}"]
    exit_code = EXIT_CODE_BY_STATUS.get(response.status, ExitCode.FAILED)
    return CommandFailed(exit_code, code, *lines)
