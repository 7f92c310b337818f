"""Stand-in of a worker, as a process of its own.

It serves HTTP/1.1 as the users' pages say: it checks the expected id, works for
a fixed time in one of its slots, echoes the request id and signs its answers.
It writes a JSON line to its file for each request that arrives.

SIGUSR1 turns the fault on that `--fault` names, SIGUSR2 turns it off:

    endless: Answers to requests under /lookup/ have a chunked body without end.
    leaving: Answers say that the worker leaves (`Server-Leaving: 1`).
    busy: Requests are turned away with 503 and `Retry-After`.

With `--fault other` it is no worker but some other server, which knows none of
the paths that it is asked for.

A request under /deadly/ ends the process a moment after it begins to run.
"""

import argparse
import asyncio
import contextlib
import json
import os
import signal
import time

CHUNK = b"1\r\n.\r\n"
BATCH_BYTES = 32 << 10
# Rate of an endless body in bytes per second; a small part of a link.
ENDLESS_RATE = 2_000_000
RETRY_AFTER_S = 3
# Time for which a deadly request runs until it ends the process.
DEADLY_S = 0.15
# Size of the answers to requests under /maps/.
LARGE_BYTES = 1_500_000


class Worker:
    """State of the stand-in."""

    def __init__(self, arguments, log):
        """Takes the command line and the file of arrivals."""
        self.id = arguments.id
        self.fault = arguments.fault
        self.work_s = arguments.work_ms / 1000.0
        self.slots = asyncio.Semaphore(arguments.slots)
        self.slot_count = arguments.slots
        self.is_faulty = False
        self.running = 0
        self.waiting = 0
        self.log = log
        self.server = None

    def record(self, **fields):
        """Writes a line with the time."""
        line = {"at": time.monotonic(), "worker": self.id, **fields}
        self.log.write(json.dumps(line) + "\n")
        self.log.flush()

    def set_faulty(self, is_faulty):
        """Turns the fault on or off."""
        self.is_faulty = is_faulty
        self.record(event="fault", on=is_faulty, fault=self.fault)

    async def serve(self, reader, writer):
        """Serves the requests of a connection in order."""
        with contextlib.suppress(
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            while True:
                request = await read_request(reader)
                if request is None or not await self.answer(
                    reader, writer, *request
                ):
                    break
        with contextlib.suppress(ConnectionError):
            writer.close()

    async def answer(self, reader, writer, line, headers, size):
        """Answers a request; returns whether the connection stays open."""
        path = line.split()[1]
        id_ = headers.get("x-banyanshed-request-id", "")
        if path == "/healthz":
            write(writer, 200, [("X-Banyanshed-Instance-Id", self.id)], b"")
            return True
        if self.fault == "other":
            self.record(event="asked_other", id=id_, path=path)
            write(writer, 404, [("Content-Type", "text/plain")], b"not found")
            return True
        common = [
            ("X-Banyanshed-Request-Id", id_),
            ("X-Banyanshed-Response-Stamp", f"{self.id}.{id_}"),
            ("Keep-Alive", "timeout=10"),
        ]
        if self.fault == "leaving" and self.is_faulty:
            common.append(("Server-Leaving", "1"))
        expected = headers.get("x-banyanshed-expect-instance")
        if expected not in (None, self.id):
            write(writer, 421, [*common, NOT_RUN], b"")
            return True
        if self.fault == "busy" and self.is_faulty:
            self.record(event="turned_away", id=id_, path=path)
            retry_after = ("Retry-After", str(RETRY_AFTER_S))
            write(writer, 503, [*common, NOT_RUN, retry_after], b"")
            return True
        self.record(event="run", id=id_, path=path, body_bytes=size)
        if self.fault == "endless" and self.is_faulty and "/lookup/" in path:
            await self.answer_without_end(reader, writer, common, id_)
            return False
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            self.running += 1
            if "/deadly/" in path:
                await asyncio.sleep(DEADLY_S)
                self.record(event="crash", id=id_, path=path)
                # Nothing listens any more when its connections end.
                self.server.close()
                os._exit(1)
            try:
                await asyncio.sleep(self.work_s)
            finally:
                self.running -= 1
        load = f"{self.running},{self.waiting},{self.slot_count}"
        common.append(("X-Banyanshed-Server-Load", load))
        body = f"{id_} by {self.id} ".encode()
        if "/maps/" in path:
            body *= LARGE_BYTES // len(body)
        write(writer, 200, common, body)
        await writer.drain()
        return True

    async def answer_without_end(self, reader, writer, headers, id_):
        """Sends a chunked body until the caller closes the connection."""
        lines = [f"{name}: {value}" for name, value in headers]
        lines += ["Transfer-Encoding: chunked", "", ""]
        writer.write(("HTTP/1.1 200 OK\r\n" + "\r\n".join(lines)).encode())
        batch = CHUNK * (BATCH_BYTES // len(CHUNK))
        sent = 0
        try:
            while not reader.at_eof():
                writer.write(batch)
                await writer.drain()
                sent += len(batch)
                await asyncio.sleep(len(batch) / ENDLESS_RATE)
        finally:
            self.record(event="endless", id=id_, sent_bytes=sent)


NOT_RUN = ("X-Banyanshed-Not-Executed", "1")


def write(writer, status, headers, body):
    """Writes a complete answer."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    writer.write("\r\n".join(lines).encode() + body)


async def read_request(reader):
    """Returns the request line, the headers and the size of the body."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    size = int(headers.get("content-length", 0))
    left = size
    while left:
        data = await reader.read(min(left, 1 << 18))
        if not data:
            return None
        left -= len(data)
    return lines[0], headers, size


async def run(arguments):
    """Serves until SIGTERM."""
    with open(arguments.log, "a", encoding="utf-8") as log:
        worker = Worker(arguments, log)
        loop = asyncio.get_running_loop()
        ended = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, ended.set)
        loop.add_signal_handler(signal.SIGUSR1, worker.set_faulty, True)
        loop.add_signal_handler(signal.SIGUSR2, worker.set_faulty, False)
        server = await asyncio.start_server(
            worker.serve, arguments.ip, arguments.port
        )
        worker.server = server
        worker.record(event="listening")
        await ended.wait()
        worker.record(event="ended")
        server.close()


def main():
    """Parses the command line and serves."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--ip", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--log", required=True)
    parser.add_argument("--fault", default="")
    parser.add_argument("--work_ms", type=float, default=30.0)
    parser.add_argument("--slots", type=int, default=9)
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
