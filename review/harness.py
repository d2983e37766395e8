"""What the scripts of the cases share: a fleet, a record and a verdict.

The daemons are the program that the deploy file builds and starts. The store
and the workers are the project's own stand-ins in tests/standins.
"""

import os
import pathlib
import signal
import socket
import sys
import threading
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[1]
os.environ["MARJORAMBAY_BIN"] = str(ROOT / "target/bin")
sys.dont_write_bytecode = True
sys.path.insert(0, str(ROOT / "tests/system"))

from platform_fleet import HOST, KEY, PlatformFleet, config, route  # noqa: E402, F401

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 110  # a script runs for 120 s at most


class Broken(Exception):
    """The rule was broken."""


class Record:
    """What was sent, answered and run, in record.txt of the case."""

    def __init__(self, folder):
        self.lock = threading.Lock()
        self.started_at = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w")

    def __call__(self, text):
        with self.lock:
            since = time.monotonic() - self.started_at
            self.file.write(f"{since:8.3f} {text}\n")
            self.file.flush()

    def requests(self, sent, answers):
        """Each request: when it was sent, and its status; 0: no answer."""
        for attempt, at in sorted(sent.items(), key=lambda item: item[1]):
            self(f"{attempt} sent at {at - self.started_at:.3f}: "
                 f"status {answers.get(attempt, ('none yet',))[0]}")

    def runs(self, fleet):
        for run in sorted(fleet.runs(), key=lambda run: run["at"]):
            at = run["at"] - self.started_at
            self(f"run of {run['id']} at {run['worker']} began at {at:.3f}, "
                 f"{'answered' if run['done'] else 'not answered'}")

    def logs(self, fleet, events):
        for host in fleet.hosts:
            for line in host.log.read_text().splitlines():
                if any(f"event={event} " in line + " " for event in events):
                    self(f"log of {host.name}: {line}")


class Caller:
    """A client with one kept connection, that counts what it got."""

    def __init__(self, port):
        self.port, self.socket, self.rest = port, None, b""

    def request(self, attempt, path, method="POST", body=b"payload",
                deadline_ms=4000, headers=None):
        """Returns (status, whole body), or (0, why there was no answer)."""
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}",
                 f"X-Marjorambay-Attempt-Id: {attempt}", f"X-Api-Key: {KEY}",
                 f"X-Marjorambay-Deadline-Ms: {deadline_ms}"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        try:
            if self.socket is None:
                self.socket = socket.create_connection(("127.0.0.1", self.port), 2)
                self.socket.settimeout(deadline_ms / 1000 + 1)
            self.socket.sendall("\r\n".join(lines).encode() + b"\r\n\r\n"
                                + (body if method != "GET" else b""))
            return self._answer()
        except OSError as failure:
            self.close()
            return 0, repr(failure)

    def _answer(self):
        data = self.rest
        while b"\r\n\r\n" not in data:
            data += self._receive()
        head, _, data = data.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        names = dict(line.lower().split(": ", 1) for line in lines[1:])
        while len(data) < int(names["content-length"]):
            data += self._receive()
        self.rest = b""
        if names.get("connection") == "close":
            self.close()
        return int(lines[0].split()[1]), data

    def _receive(self):
        received = self.socket.recv(65536)
        if not received:
            raise ConnectionError("closed without a whole answer")
        return received

    def close(self):
        if self.socket is not None:
            self.socket.close()
        self.socket, self.rest = None, b""


def run_case(folder, play):
    """Runs play(record); exits with 1 if the rule was broken, 0 if it held, and
    2 if the case could not run."""
    record = Record(folder)
    record(f"disruption: {'yes' if TROUBLE else 'no'}")
    signal.signal(signal.SIGALRM, lambda *_: (_ for _ in ()).throw(
        TimeoutError(f"longer than {LIMIT_S} s")))
    signal.alarm(LIMIT_S)
    code = 0
    try:
        play(record)
        record("the rule held")
    except Broken as found:
        record(f"the rule was broken: {found}")
        print(f"broken: {found}")
        code = 1
    except BaseException:
        record(traceback.format_exc())
        traceback.print_exc()
        code = 2
    sys.stdout.flush()
    os._exit(code)


def run_threads(works):
    """Runs all at the same time and waits for their ends."""
    threads = [threading.Thread(target=work, daemon=True) for work in works]
    for each in threads:
        each.start()
    for each in threads:
        each.join()
