"""Clients that stop reading for a second; see claim.txt."""
import asyncio
import pathlib
import socket
import sys
import tempfile
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import kit2  # noqa: E402
from kit2 import (HOST, KEY, TROUBLE, Daemon, Loop, Record, Store,  # noqa: E402
                  Worker, wait_until)

HOSTS, WORKERS, CLIENTS = 3, 6, 18
EVENTS, EVENT_BYTES = 500, 300  # the site: 560 pieces of 330 bytes at most
RECEIVE_BUFFER = 16384  # of a client's socket
PAUSE_AFTER, PAUSE = 20000, 1.0  # bytes, and seconds without reading
DEADLINE_S = 15  # of the request, and of its route
GAP = 2.0  # between two requests of a client; the idle timeout is 15 s
SECOND_AFTER = 64  # seconds between the two long answers of a client
ALLOWED = 3  # LOST, at any time


class Engine(Worker):
    """Streams quickly, and keeps its connections."""

    async def _stream(self, writer, run, trouble):
        writer.write((
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"X-Marjorambay-Attempt-Id: {run['id']}\r\n"
            f"X-Marjorambay-Server-Signature: sign-{self.name}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(1, int(run["target"].rpartition("/")[2]) + 1):
            start = f"id: {number}\ndata: "
            event = (start + "x" * (EVENT_BYTES - len(start) - 2)
                     + "\n\n").encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            if number % 10 == 0:
                await writer.drain()
                await asyncio.sleep(0.02)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        run["done"] = True
        return True


def config(version):
    return {
        "version": version,
        "routes": [{"name": "guide", "host": HOST, "path_prefix": "/stream/",
                    "route_type": "streaming", "target_gap_ms": 400,
                    "timeout_ms": DEADLINE_S * 1000, "target_latency_ms": 400,
                    "priority": 2, "service": "pool", "anonymous": False,
                    "session_affinity": True, "stream_resumption": False,
                    "max_attempts": 1}],
        "services": [{"name": "pool", "health_path": "/healthz",
                      "max_connections": 580,
                      "engine": {"capacity": 4, "stride": 3}}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "one", "api_keys": [KEY], "priority": 1}]}


class Client:
    """One kept connection, with one request at a time."""

    def __init__(self, number, daemon, record):
        self.number, self.daemon, self.record = number, daemon, record
        self.outcomes = []  # (id, whole)
        self.asked = 0

    def ask(self, connection, events, pauses):
        """Whether the answer was whole, and the connection goes on."""
        self.asked += 1
        name = f"client-{self.number}-{self.asked}"
        at = time.monotonic()
        answer, why, paused = b"", "end of the connection", not pauses
        try:
            connection.sendall((
                f"POST /stream/{events} HTTP/1.1\r\nHost: {HOST}\r\n"
                f"X-Api-Key: {KEY}\r\nX-Marjorambay-Attempt-Id: {name}\r\n"
                f"X-Marjorambay-Deadline-Ms: {DEADLINE_S * 1000}\r\n"
                "X-Marjorambay-Model: m\r\nX-Marjorambay-Token-Count: 500,500\r\n"
                "Content-Length: 2\r\n\r\nhi").encode())
            while not answer.endswith(b"\r\n0\r\n\r\n"):
                got = connection.recv(65536)
                if not got or answer[9:12] not in (b"", b"200"):
                    break
                answer += got
                if not paused and len(answer) > PAUSE_AFTER:
                    paused = True
                    time.sleep(PAUSE)
        except OSError as failure:
            why = repr(failure)
        whole = (answer.endswith(b"\r\n0\r\n\r\n")
                 and answer.count(b"\nid: ") == events)
        status = answer[9:12].decode()
        self.outcomes.append((name, status, whole))
        if events == EVENTS or not whole:
            self.record.note(
                f"{name} to {self.daemon.name}, {events} events: status {status}, "
                f"{len(answer)} bytes in {time.monotonic() - at:.1f} s, "
                + ("whole" if whole else "cut: " + why), at)
        return whole

    def play(self):
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        connection.settimeout(DEADLINE_S + 1)
        connection.connect(("127.0.0.1", self.daemon.caller))
        with connection:
            began = time.monotonic()
            if not self.ask(connection, EVENTS, TROUBLE):
                return
            while time.monotonic() < began + SECOND_AFTER:
                time.sleep(GAP)
                if not self.ask(connection, 5, False):
                    return
            time.sleep(GAP)
            self.ask(connection, EVENTS, TROUBLE)


def run(folder, record):
    runner = Loop()
    store = Store(runner)
    store.put("config", "main", config(3))
    workers = [Engine(runner, store, "pool", f"i-{number}", slots=4,
                      zone="kirtipur") for number in range(WORKERS)]
    daemons = []
    try:
        for number in range(HOSTS):
            daemons.append(Daemon(folder, f"edge-{number + 1}", "kirtipur",
                                  store.address, record))
        for daemon in daemons:
            wait_until(daemon.ready, f"{daemon.name} ready")
        time.sleep(kit2.BOUNDS["contact_timeout_ms"] / 1000)
        record.note("clients begin; nothing else happens from here on")
        clients = [Client(number, daemons[number % HOSTS], record)
                   for number in range(CLIENTS)]
        threads = []
        for client in clients:
            threads.append(threading.Thread(target=client.play, daemon=True))
            threads[-1].start()
            time.sleep(0.3)
        for thread in threads:
            thread.join(110)
        runs = {each["id"]: each for worker in workers for each in worker.runs}
        outcomes = [one for client in clients for one in client.outcomes]
        if not any(whole for _, _, whole in outcomes):
            raise RuntimeError("no answer at all")
        # LOST: passed on to a sound worker, and not whole.
        lost = [name for name, status, whole in outcomes
                if not whole and status in ("200", "") and name in runs]
        for name in lost:
            record.note(f"{name} had run to its end: {runs[name]['done']}",
                        runs[name]["at"])
        for name, status, _ in outcomes:
            if status not in ("200", ""):
                record.note(f"{name}: status {status}")
        for daemon in daemons:
            for line in daemon.lines("caller_dropped"):
                record.note(f"{daemon.name} logs: {line}")
            if daemon.process.poll() is not None:
                raise RuntimeError(f"{daemon.name} has ended")
        second = [client.outcomes[-1] for client in clients
                  if client.outcomes[-1][0] in runs]
        text = (f"{len(lost)} of {len(outcomes)} answers were cut on kept "
                f"connections, of {len(second)} last ones "
                f"{sum(not whole for _, _, whole in second)}; allowed {ALLOWED}")
        record.note(text)
        print(text)
        return 1 if len(lost) > ALLOWED else 0
    finally:
        for each in daemons:
            each.stop()
        for each in [*workers, store]:
            each.close()
        runner.stop()


if __name__ == "__main__":
    with tempfile.TemporaryDirectory(prefix="review-8-") as temporary:
        record = Record(HERE)
        try:
            status = run(pathlib.Path(temporary), record)
        except (RuntimeError, OSError, AssertionError) as failure:
            record.note(f"could not run: {failure}")
            print(f"could not run: {failure}")
            status = 2
    sys.exit(10 if status == 1 else status)
