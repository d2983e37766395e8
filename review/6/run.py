"""Every machine but one loses all workers for good; see claim.txt."""
import asyncio
import collections
import itertools
import pathlib
import sys
import tempfile
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import kit2  # noqa: E402
from kit2 import (BOUNDS, HOST, KEY, TROUBLE, Daemon, Loop, Proxy, Record,  # noqa: E402
                  Store, Worker, wait_until)

HOSTS = 4
WORKERS = 12
RATE = 8.0  # requests a second to each machine
DOWN_SECONDS = 4.5  # the store is down, and leases run out
AWAY_SECONDS = 7.8  # from then on: it turns one machine away
STORM_AT = 7.6  # from then on, configurations come in quick succession
STORM = (25, 0.08)  # configurations, seconds between two
END_SECONDS = 100.0  # after the first request
MOST_REFUSED = 0.6  # of the requests, refused or failed


def config(version, timeout=15000):
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

    def __init__(self, runner, daemon, record, ids):
        self.daemon, self.rate, self.record, self.ids = daemon, RATE, record, ids
        self.running = True
        self.sent = []  # (time, what came of it)
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
        at, outcome, writer = time.monotonic(), "failed", None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                "127.0.0.1", self.daemon.caller), 1)
            writer.write(
                f"POST /stream/x HTTP/1.1\r\nHost: {HOST}\r\n"
                f"X-Marjorambay-Attempt-Id: {attempt}\r\n"
                f"X-Marjorambay-Deadline-Ms: 4000\r\nX-Api-Key: {KEY}\r\n"
                "X-Marjorambay-Model: m\r\nX-Marjorambay-Token-Count: 100,60\r\n"
                f"X-Marjorambay-Prefix-Hash: 5c1e07a2:60,{attempt[1:]}:40\r\n"
                "Connection: close\r\nContent-Length: 2\r\n\r\nhi".encode())
            got = await asyncio.wait_for(reader.read(-1), 6)
            outcome = got[9:12].decode() if got else "cut"
            if outcome == "200" and not got.endswith(b"0\r\n\r\n"):
                outcome = "cut"
        except (OSError, asyncio.TimeoutError):
            pass
        finally:
            if writer is not None:
                writer.close()
        self.sent.append((at, outcome))
        self.record.note(f"{attempt} sent to {self.daemon.name}: {outcome}", at)


def outcomes(clients, since, until):
    return collections.Counter(outcome for each in clients
                               for at, outcome in each.sent
                               if since <= at < until)


def run(folder, record):
    runner = Loop()
    store = Store(runner)
    store.put("config", "main", config(3))
    zones = ("kirtipur", "lalitpur")
    workers = [Worker(runner, store, "pool", f"i-{number}", slots=7,
                      zone=zones[number % 2]) for number in range(WORKERS)]
    for worker in workers:
        worker.events, worker.gap = 20, 0.08
    daemons, clients, proxies = [], [], []
    ids = itertools.count(1)
    try:
        for number in range(HOSTS):
            proxies.append(Proxy(runner, store.port))
            daemons.append(Daemon(folder, f"edge-{number + 1}", zones[number % 2],
                                  proxies[-1].address, record))
        for daemon in daemons:
            wait_until(daemon.ready, f"{daemon.name} ready")
        time.sleep(3)
        clients = [Clients(runner, each, record, ids) for each in daemons]
        began = time.monotonic()
        time.sleep(6)
        arbiters = [each for each in daemons if each.lines("arbiter_started")]
        if len(arbiters) != 1:
            kit2.cannot_run(f"{len(arbiters)} arbiters at first")
        hubs = [each for each in daemons if not each.lines("platform_source")
                or "from=hubs" not in each.lines("platform_source")[-1]]
        away = next(each for each in hubs if each is not arbiters[0])
        proxy = proxies[daemons.index(away)]
        record.note(f"{arbiters[0].name} arbitrates; {[h.name for h in hubs]} watch "
                    "the store for all")
        down_at = time.monotonic()
        if TROUBLE:
            proxy.mode = "refuse"
            store.mode = "reset"
            store.cut_connections()
            record.note("the store is down (resets)")
            time.sleep(3)
            for each in workers:
                store.delete("servers", each.name)
            record.note("the entries of all workers have lapsed")
            time.sleep(DOWN_SECONDS - 3)
            store.mode = "up"
            record.note(f"the store is back, and still turns {away.name} away")
            time.sleep(1)
            for each in workers:
                each.register("ready")
            record.note("the entries of all workers are back")
        time.sleep(max(0, down_at + STORM_AT - time.monotonic()))
        due = back = time.monotonic()
        for number in range(STORM[0]):
            store.put("config", "main", config(7 + number, 15000 + 10 * number))
            record.note(f"configuration {7 + number} acknowledged")
            due += STORM[1]
            time.sleep(max(0, due - time.monotonic()))
            if proxy.mode != "pass" and time.monotonic() > down_at + AWAY_SECONDS:
                proxy.mode = "pass"
                back = time.monotonic()
                record.note(f"the store serves {away.name} too, after "
                            f"{back - down_at:.1f} s")
        if proxy.mode != "pass":
            kit2.cannot_run("the machine is still turned away")
        until = began + END_SECONDS
        time.sleep(max(0, until - time.monotonic()))
        for each in clients:
            each.running = False
        time.sleep(5)
        for each in daemons:
            lost = len(each.lines("target_left"))
            record.note(f"{each.name}: ready {each.ready()}, workers lost {lost}")
        before = outcomes(clients, began, down_at)
        day = outcomes(clients, began, until)
        late = outcomes(clients, back + BOUNDS["recovery_s"], until)
        refused = 1 - day["200"] / sum(day.values())
        record.note(f"answers before: {dict(before)}, all: {dict(day)}")
        text = (f"{refused:.0%} of {sum(day.values())} requests were refused or "
                f"failed, {MOST_REFUSED:.0%} is the most; served before: "
                f"{before['200']} of {sum(before.values())}, later than "
                f"{BOUNDS['recovery_s']} s after the store was back for all: "
                f"{late['200']} of {sum(late.values())}")
        record.note(text)
        print(text)
        return refused > MOST_REFUSED
    finally:
        for each in clients:
            each.running = False
        for each in daemons:
            each.stop()
        for each in [*workers, *proxies, store]:
            each.close()
        runner.stop()


if __name__ == "__main__":
    with tempfile.TemporaryDirectory(prefix="review-6-") as temporary:
        record = Record(HERE)
        try:
            status = run(pathlib.Path(temporary), record)
        except (RuntimeError, OSError, AssertionError) as failure:
            kit2.cannot_run(repr(failure))
    sys.exit(10 if status else 0)
