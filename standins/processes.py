"""Starts test doubles and daemons as child processes of an exit stack."""

import contextlib
import dataclasses
import json
import signal
import subprocess
import sys
import threading
from typing import IO, Any

import urllib3

START_TIMEOUT_S = 30
STOP_TIMEOUT_S = 30


@dataclasses.dataclass
class ChildProcess:
    """A child process that serves HTTP at `address`."""

    process: subprocess.Popen
    address: str = ""
    lines: list[str] = dataclasses.field(default_factory=list)
    listening: threading.Event = dataclasses.field(
        default_factory=threading.Event
    )

    def call(self, method: str, path: str, body=None, headers=None):
        """Sends an HTTP request; a body that is not bytes is sent as JSON."""
        if body is not None and not isinstance(body, bytes):
            body = json.dumps(body).encode()
        return urllib3.request(
            method,
            f"http://{self.address}{path}",
            body=body,
            headers=headers,
            retries=False,
            timeout=START_TIMEOUT_S,
        )

    def get(self, path: str) -> Any:
        """Returns the decoded JSON response of a path."""
        return self.call("GET", path).json()

    def put(self, path: str, value: Any) -> None:
        """Sends JSON by PUT; the status must be 200."""
        assert self.call("PUT", path, value).status == 200

    def stop(self) -> int:
        """Sends SIGTERM and returns the exit code."""
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(STOP_TIMEOUT_S)


def start(
    stack: contextlib.ExitStack,
    module: str,
    *arguments: str,
    log: IO[str] | None = None,
) -> ChildProcess:
    """Starts `python -m module` and waits for its line "listening IP:PORT"."""
    child = spawn(stack, module, *arguments, log=log)
    await_start(child)
    return child


def spawn(
    stack: contextlib.ExitStack,
    module: str,
    *arguments: str,
    log: IO[str] | None = None,
) -> ChildProcess:
    """Starts `python -m module` without waiting; stderr goes to `log`."""
    process = subprocess.Popen(
        [sys.executable, "-m", module, *arguments],
        stdout=subprocess.PIPE,
        stderr=log,
        text=True,
    )
    stack.callback(terminate, process)
    child = ChildProcess(process)
    reader = threading.Thread(target=read_lines, args=(child,), daemon=True)
    reader.start()
    return child


def await_start(child: ChildProcess) -> None:
    """Waits until a child process listens."""
    child.listening.wait(START_TIMEOUT_S)
    assert child.address, f"{child.process.args} did not start"


def read_lines(child: ChildProcess) -> None:
    """Collects the lines that a child process prints, and its address."""
    for line in child.process.stdout:
        child.lines.append(line)
        if line.startswith("listening ") and not child.address:
            child.address = line.split()[1]
            child.listening.set()
    child.listening.set()


def terminate(process: subprocess.Popen) -> None:
    """Terminates a process that may have ended or be paused by SIGSTOP."""
    if process.poll() is None:
        process.send_signal(signal.SIGCONT)
        process.terminate()
    try:
        process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
