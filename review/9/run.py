"""A machine that was cut off takes back workers that have left; see claim.txt."""
import asyncio
import itertools
import pathlib
import sys
import tempfile
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import kit2  # noqa: E402
from kit2 import (BOUNDS, HOST, KEY, TROUBLE, Daemon, Loop, Record, Store,  # noqa: E402
                  Worker, free_ports, wait_until)
from links import Links  # noqa: E402

HOSTS = 6
CUT_HOSTS = 2
ROUNDS = 8
CUT_SECONDS = 6.1
RATE = 60  # requests a second to each machine
WORKERS, REPLACED = 6, 3  # all of them, and those that a release replaces
GAP = 0.75  # seconds between two workers that are replaced
# Seconds from the start of the cut to the first release of the workers, and
# from the end of the cut to the second one, which replaces those of the first.
FIRST, SECOND = 1.5, -1.8
SERVES_ON = 6.0  # seconds for which a worker serves once its entry is removed
CONTACT = BOUNDS["contact_timeout_ms"] / 1000
DRAIN = BOUNDS["drain_ms"] / 1000


def config(version):
    return {
        "version": version,
        "routes": [{
            "name": "votes", "host": HOST, "path_prefix": "/cast/",
            "route_type": "unsafe", "timeout_ms": 600, "target_latency_ms": 100,
            "priority": 2, "service": "desk", "max_attempts": 2,
            "anonymous": False}],
        "services": [{"name": "desk", "health_path": "/healthz",
                      "max_connections": 100}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 2000, "idle_timeout_ms": 10000},
        "tenants": [{"name": "one", "api_keys": [KEY], "priority": 1}]}


class Clients:
    """Sends requests to one daemon at a steady rate, each on a connection of
    its own, and reads the answers."""

    def __init__(self, runner, daemon, record, ids):
        self.daemon, self.record, self.ids = daemon, record, ids
        self.running = True
        self.sent = {}  # time by id
        self.served = 0
        self.task = asyncio.run_coroutine_threadsafe(self._run(), runner.loop)

    async def _run(self):
        tasks, due = set(), time.monotonic()
        while self.running:
            due += 1 / RATE
            await asyncio.sleep(max(0, due - time.monotonic()))
            task = asyncio.ensure_future(self._one(f"a{next(self.ids):08x}"))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _one(self, attempt):
        outcome, writer = "failed", None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                "127.0.0.1", self.daemon.caller), 1)
            at = self.sent[attempt] = time.monotonic()
            writer.write(
                f"POST /cast/x HTTP/1.1\r\nHost: {HOST}\r\n"
                f"X-Marjorambay-Attempt-Id: {attempt}\r\n"
                f"X-Marjorambay-Deadline-Ms: 600\r\nX-Api-Key: {KEY}\r\n"
                "Connection: close\r\nContent-Length: 2\r\n\r\nhi".encode())
            got = await asyncio.wait_for(reader.read(-1), 3)
            outcome = got[9:12].decode() if got else "cut"
            self.served += outcome == "200"
            self.record.note(f"{attempt} sent to {self.daemon.name}: {outcome}", at)
        except (OSError, asyncio.TimeoutError):
            self.record.note(f"{attempt} to {self.daemon.name}: failed")
        finally:
            if writer is not None:
                writer.close()


class Service:
    """Workers that are replaced one after the other: the new one starts first,
    then the entry of the old one is removed, which serves on for a while."""

    def __init__(self, runner, store, record):
        self.runner, self.store, self.record = runner, store, record
        self.started = 0
        self.gone = {}  # when its entry was removed, by worker
        self.workers = [self.start() for _ in range(WORKERS)]

    def start(self):
        self.started += 1
        worker = Worker(self.runner, self.store, "desk", f"i-{self.started}",
                        slots=6, zone="kirtipur")
        worker.seconds = 0.04
        self.record.note(f"{worker.name} has started")
        return worker

    def replace(self, place):
        old, self.workers[place] = self.workers[place], self.start()
        old.leave()
        self.gone[old] = time.monotonic()
        self.record.note(f"the store has removed {old.name}")

    def end_old(self):
        """Ends the workers that have served on for long enough."""
        now = time.monotonic()
        for worker, at in self.gone.items():
            if worker.server.is_serving() and now > at + SERVES_ON:
                self.record.note(f"{worker.name} ends")
                worker.close()

    def close(self):
        for worker in {*self.workers, *self.gone}:
            if worker.server.is_serving():
                worker.close()


def play_round(victims, service, links, record):
    """Returns the machines that are cut off, and the time for which they don't
    count."""
    names = {each.name for each in victims}
    began = time.monotonic()
    if TROUBLE:
        links.cut |= names
        record.note(f"{sorted(names)} are cut off from the store and from the "
                    "other machines")
    back = began + CUT_SECONDS
    moments = sorted([(first + GAP * place, place)
                      for first in (began + FIRST, back + SECOND)
                      for place in range(REPLACED)] + [(back, None)])
    for at, place in moments:
        time.sleep(max(0, at - time.monotonic()))
        if place is not None:
            service.replace(place)
            continue
        links.cut.clear()
        back = time.monotonic()
        if TROUBLE:
            record.note(f"they are back after {back - began:.1f} s")
    while time.monotonic() < back + 5:
        time.sleep(0.1)
        service.end_old()
    return names, began, back + CONTACT


def watches(daemon):
    """Whether a machine watches the store itself, for others too."""
    lines = daemon.lines("platform_source")
    return not lines or "from=hubs" not in lines[-1]


def judge(gone, clients, rounds, record):
    """Counts requests that reach a worker later than drain_ms after the store
    has said that it is gone, sent to and by a machine in touch."""
    found = 0
    for worker, left in gone.items():
        for attempt, at in worker.seen:
            machine, sent = next(
                (client.daemon.name, client.sent[attempt])
                for client in clients if attempt in client.sent)
            in_touch = not TROUBLE or not any(
                machine in names and since <= moment < until
                for names, since, until in rounds for moment in (sent, at))
            if at - left > DRAIN and in_touch:
                found += 1
                record.note(f"BROKEN: {attempt}, sent to {machine} "
                            f"{sent - left:.3f} s after the store had removed "
                            f"{worker.name}, reaches it {at - left:.3f} s after "
                            "that", at)
    return found


def run(folder, record):
    runner = Loop()
    store = Store(runner)
    store.put("config", "main", config(3))
    zones = ("kirtipur", "lalitpur")
    service = Service(runner, store, record)
    names = [f"edge-{number + 1}" for number in range(HOSTS)]
    peers = dict(zip(names, free_ports(HOSTS)))
    links = Links(runner, store.port, peers, asks_again=(1, 3, 7))
    ids = itertools.count(1)
    daemons, clients, rounds = [], [], []
    try:
        for number, name in enumerate(names):
            daemons.append(Daemon(folder, name, zones[number % 2],
                                  f"127.0.0.1:{links.store_ports[name]}", record,
                                  peers[name]))
        for daemon in daemons:
            wait_until(daemon.ready, f"{daemon.name} ready")
        time.sleep(3)
        clients = [Clients(runner, each, record, ids) for each in daemons]
        time.sleep(2)
        hubs = [each for each in daemons if watches(each)]
        record.note(f"{[each.name for each in hubs]} watch the store")
        if len(hubs) < CUT_HOSTS:
            kit2.cannot_run(f"{len(hubs)} machines watch the store")
        for number in range(ROUNDS):
            victims = [hubs[(number + place) % len(hubs)]
                       for place in range(CUT_HOSTS)]
            rounds.append(play_round(victims, service, links, record))
        for each in clients:
            each.running = False
        time.sleep(2)
        for each in daemons:
            for event in ("target_left", "store_lost", "store_regained"):
                for line in each.lines(event):
                    record.note(f"{each.name}: {line}")
        found = judge(service.gone, clients, rounds, record)
        sent = sum(len(each.sent) for each in clients)
        text = (f"{found} requests have reached workers later than {DRAIN:g} s after "
                f"these had left; {sum(each.served for each in clients)} of {sent} "
                "served")
        record.note(text)
        print(text)
        return found != 0
    finally:
        for each in clients:
            each.running = False
        for each in daemons:
            each.stop()
        for each in [service, links, store]:
            each.close()
        runner.stop()


if __name__ == "__main__":
    with tempfile.TemporaryDirectory(prefix="review-9-") as temporary:
        record = Record(HERE)
        try:
            status = run(pathlib.Path(temporary), record)
        except (RuntimeError, OSError, AssertionError) as failure:
            kit2.cannot_run(repr(failure))
    sys.exit(10 if status else 0)
