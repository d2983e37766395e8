"""Two arbiters of one pool after a planned restart; see claim.txt."""
import asyncio
import collections
import itertools
import pathlib
import signal
import sys
import tempfile
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import kit2  # noqa: E402
from kit2 import (BOUNDS, HOST, KEY, TROUBLE, Daemon, Loop, Proxy, Record,  # noqa: E402
                  Store, Worker, wait_until)

LIMIT = 20.0  # requests a second that the worker names
WINDOW = 4.0
ALLOWED = 1.5 * LIMIT * WINDOW + 5
HOSTS = 4
REFUSED_SECONDS = 8.0  # the store turns one machine away for so long


def config(version, timeout=3000):
    return {
        "version": version,
        "routes": [{
            "name": "notes", "host": HOST, "path_prefix": "/stream/",
            "route_type": "streaming", "stream_resumption": True,
            "target_gap_ms": 400, "timeout_ms": timeout,
            "target_latency_ms": 1500, "priority": 1, "service": "pool",
            "max_attempts": 2, "anonymous": False, "session_affinity": True}],
        "services": [{"name": "pool", "health_path": "/healthz",
                      "max_connections": 620,
                      "engine": {"capacity": 7, "stride": 3}}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 2000, "idle_timeout_ms": 10000},
        "tenants": [{"name": "one", "api_keys": [KEY], "priority": 1}]}


class Clients:
    """Sends requests to one daemon at a steady rate, each on a connection of
    its own, and reads the answers."""

    def __init__(self, runner, daemon, rate, record, ids):
        self.daemon, self.rate, self.record, self.ids = daemon, rate, record, ids
        self.running = True
        self.sent = set()  # ids of its requests
        self.answers = collections.Counter()
        self.task = asyncio.run_coroutine_threadsafe(self._run(), runner.loop)

    async def _run(self):
        tasks, due = set(), time.monotonic()
        while self.running:
            due += 1 / self.rate
            await asyncio.sleep(max(0, due - time.monotonic()))
            task = asyncio.ensure_future(self._one(f"a{next(self.ids):08x}"))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _one(self, attempt):
        self.sent.add(attempt)
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.daemon.caller)
        except OSError:
            self.answers["no connection"] += 1
            return
        try:
            writer.write(
                f"POST /stream/x HTTP/1.1\r\nHost: {HOST}\r\n"
                f"X-Marjorambay-Attempt-Id: {attempt}\r\n"
                f"X-Marjorambay-Deadline-Ms: 3000\r\nX-Api-Key: {KEY}\r\n"
                "X-Marjorambay-Model: m\r\nX-Marjorambay-Token-Count: 100,10\r\n"
                f"X-Marjorambay-Prefix-Hash: 5c1e07a2:60,{attempt[1:]}:40\r\n"
                "Connection: close\r\nContent-Length: 2\r\n\r\nhi".encode())
            got = await asyncio.wait_for(reader.read(-1), 5)
            status = got[9:12].decode() if got else "cut"
            self.answers[status] += 1
            self.record.note(f"{attempt} sent to {self.daemon.name}: {status}")
        except (OSError, asyncio.TimeoutError):
            self.answers["failed"] += 1
        finally:
            writer.close()


def most_in_window(times):
    best, first = (0, 0.0), 0
    for last, at in enumerate(times):
        while at - times[first] > WINDOW:
            first += 1
        if last - first + 1 > best[0]:
            best = (last - first + 1, times[first])
    return best


def run(folder, record):
    runner = Loop()
    store = Store(runner)
    store.put("config", "main", config(3))
    workers = [Worker(runner, store, "pool", f"i-{number}", slots=7,
                      zone=zone) for number, zone in
               enumerate(("kirtipur", "lalitpur"))]
    for worker in workers:
        worker.events, worker.gap = 3, 0.005
    proxies, daemons, clients = [], [], []
    ids = itertools.count(1)
    try:
        for number in range(HOSTS):
            proxies.append(Proxy(runner, store.port))
            daemons.append(Daemon(folder, f"edge-{number + 1}",
                                  ("kirtipur", "lalitpur")[number % 2],
                                  proxies[-1].address, record))
        for daemon in daemons:
            wait_until(daemon.ready, f"{daemon.name} ready")
        time.sleep(3)
        clients = [Clients(runner, each, 20, record, ids) for each in daemons]
        time.sleep(3)
        arbiters = [each for each in daemons if each.lines("arbiter_started")]
        if len(arbiters) != 1:
            kit2.cannot_run(f"{len(arbiters)} arbiters at first")
        arbiter = arbiters[0]
        hubs = [each for each in daemons if not each.lines("platform_source")
                or "from=hubs" not in each.lines("platform_source")[-1]]
        other = next(each for each in hubs if each is not arbiter)
        record.note(f"arbiter {arbiter.name}, hubs {[h.name for h in hubs]}, "
                    f"turned away {other.name}")
        if TROUBLE:
            proxy = proxies[daemons.index(other)]
            proxy.mode = "refuse"
            proxy.cut()
            refused_at = time.monotonic()
            record.note(f"the store turns {other.name} away (resets)")
            time.sleep(0.5)
            arbiter.process.send_signal(signal.SIGTERM)
            record.note(f"SIGTERM to {arbiter.name}")
            arbiter.process.wait(timeout=BOUNDS["grace_period_s"])
            record.note(f"{arbiter.name} exited {arbiter.process.returncode}")
            time.sleep(0.3)
            arbiter.start()
            wait_until(arbiter.ready, f"{arbiter.name} ready again", 5)
            record.note(f"{arbiter.name} ready again")
            time.sleep(0.5)
        store.put("config", "main", config(7, 3100))
        record.note("configuration 7 acknowledged")
        if TROUBLE:
            time.sleep(max(0, refused_at + REFUSED_SECONDS - time.monotonic()))
            proxy.mode = "pass"
            record.note(f"the store serves {other.name} again "
                        f"after {time.monotonic() - refused_at:.1f} s")
        time.sleep(8)  # over twice contact_timeout_ms: all machines are in touch
        for client in clients:
            client.rate = 2 if client.daemon is arbiter else 40
        record.note(f"clients send 40 requests a second to each machine but "
                    f"{arbiter.name}, which gets 2")
        time.sleep(1)
        named_at = time.monotonic()
        workers[0].notices = {"Server-Limit": f"{LIMIT:g}"}
        record.note(f"{workers[0].name} names Server-Limit {LIMIT:g} from now on")
        time.sleep(3 + 15)
        # The machine that was restarted is left out of the count.
        excused = clients[daemons.index(arbiter)].sent
        seen = sorted(at for attempt, at in workers[0].seen
                      if at >= named_at + BOUNDS["contact_timeout_ms"] / 1000
                      and attempt not in excused)
        for each in workers:
            for attempt, at in each.seen:
                if at >= named_at:
                    record.note(f"{attempt} reaches {each.name}", at)
        count, at = most_in_window(seen)
        for each in daemons:
            record.note(f"{each.name}: arbiter_started "
                        f"{len(each.lines('arbiter_started'))}, host_registered "
                        f"{len(each.lines('host_registered'))}")
        record.note(f"answers: {[dict(c.answers) for c in clients]}")
        text = (f"{workers[0].name} got {count} requests within {WINDOW:g} s "
                f"(at {at - record.began:.1f} s), without those from "
                f"{arbiter.name}; its limit of {LIMIT:g} a second allows "
                f"{ALLOWED:g}")
        record.note(text)
        print(text)
        return 1 if count > ALLOWED else 0
    finally:
        for client in clients:
            client.running = False
        for each in daemons:
            each.stop()
        for each in [*workers, *proxies, store]:
            each.close()
        runner.stop()


if __name__ == "__main__":
    with tempfile.TemporaryDirectory(prefix="review-6-") as temporary:
        record = Record(HERE, "two arbiters: " if "beside" in sys.argv else "")
        try:
            status = run(pathlib.Path(temporary), record)
        except (RuntimeError, OSError, AssertionError) as failure:
            record.note(f"could not run: {failure}")
            print(f"could not run: {failure}")
            status = 2
    sys.exit(10 if status == 1 else status)
