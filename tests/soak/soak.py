#!/usr/bin/env python3
"""A randomized fault soak of forwarded routes, on real processes.

soak.py [--seed N] [--seconds S] [--hosts N] [--restores] [--notices] [--endless]
        [--keep FOLDER]

Callers keep their connections open and send requests of every kind, while
workers, the store, connections and processes fail in overlapping series. What
callers and workers saw is checked against the promises: an answer is whole and
the caller's own; an unsafe request runs once at most, and not at all if it was
told so; nothing reaches a worker that no caller sent; known keys and routes are
never denied; and after the last fault all hosts serve again.
"""

import argparse
import http.client
import pathlib
import random
import shutil
import signal
import sys
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "tests/system"), str(ROOT / "tests/standins"),
                str(ROOT / "tests/soak")]
from fleet import wait_until  # noqa: E402
from platform_fleet import HOST, KEY, PlatformFleet, config, events_of, route  # noqa: E402
from proxy import Proxy  # noqa: E402

RECOVERY_S = 12
CONFIG_S = 5  # 3 until a host is in touch again, 2 until it is in force
STOP_S = 10  # twice the grace period
LOADING_S = 0.2  # from exec to main(), on a busy machine
KINDS = ("/safe/", "/once/", "/stream/", "/streamonce/")
RESTORE_WEIGHT = 3  # against 12 of the other faults
NOTICE_WEIGHT = 2  # of each fault of that kind, against the same 12
ENDLESS = tuple(f"endless:{what}" for what in (
    "bytes", "interim", "late", "head", "chunk", "body", "chunks", "event"))
NOT_RUN = (408, 421, 429, 503)


class Caller(threading.Thread):
    """Sends requests over a kept connection, and judges each answer."""

    def __init__(self, soak, number):
        super().__init__(daemon=True)
        self.soak, self.number = soak, number
        self.random = random.Random(soak.seed * 1000 + number)
        self.connection, self.host = None, None
        self.sent = 0

    def run(self):
        while not self.soak.over.is_set():
            self.one()
            time.sleep(self.random.uniform(0, 0.03))

    def one(self):
        self.sent += 1
        attempt = f"c{self.number}-{self.sent}"
        path = self.random.choice(KINDS) + attempt
        body = b"x" * self.random.choice((0, 10, 2000))
        self.soak.note_sent(attempt, path, body)
        status, answer, whole = self.exchange(attempt, path, body)
        self.soak.note_answer(attempt, path, status, answer, whole)

    def exchange(self, attempt, path, body):
        if self.connection is None:
            self.host = self.random.choice(self.soak.fleet.hosts)
            self.connection = http.client.HTTPConnection(
                "127.0.0.1", self.host.caller, timeout=6)
        try:
            self.connection.request("POST", path, body, {
                "Host": HOST, "X-Api-Key": KEY,
                "X-Marjorambay-Attempt-Id": attempt,
                "X-Marjorambay-Deadline-Ms": "3000"})
            reply = self.connection.getresponse()
            answer = reply.read()
            if reply.getheader("Connection") == "close":
                self.drop()
            return reply.status, answer, reply.getheader(
                "X-Marjorambay-Server-Signature", "")
        except (OSError, http.client.HTTPException):
            self.drop()
            return 0, b"", ""

    def drop(self):
        if self.connection is not None:
            self.connection.close()
        self.connection = None


class Soak:
    def __init__(self, seed, hosts, restores, notices, endless):
        self.seed, self.restores, self.notices = seed, restores, notices
        self.endless = endless
        self.random = random.Random(seed)
        self.over = threading.Event()
        self.lock = threading.Lock()
        self.sent, self.answers, self.broken = {}, {}, []
        self.faults = []
        self.fleet = PlatformFleet(hosts=hosts, workers=3)
        self.version = 3
        self.newest = config(3)  # as the operator last wrote it
        self.proxies = []
        for worker in self.fleet.workers.values():
            proxy = Proxy(self.fleet.runner, worker.port)
            entry = worker.entry("ready")
            entry["address"] = proxy.address
            self.fleet.store.put("servers", worker.name, entry)
            self.proxies.append(proxy)

    # ---- What is seen ----

    def fail(self, what):
        with self.lock:
            self.broken.append(what)

    def note_sent(self, attempt, path, body):
        with self.lock:
            self.sent[attempt] = (path, body)

    def note_answer(self, attempt, path, status, body, signature):
        with self.lock:
            self.answers[attempt] = status
        if status in (401, 404):
            self.fail(f"{attempt} {path} was denied: {status}")
        if status != 200:
            return
        if not signature:
            self.fail(f"{attempt} {path}: a success without a signature")
        if path.startswith("/stream"):
            if events_of(body) != [1, 2, 3, 4, 5]:
                self.fail(f"{attempt} {path}: events {events_of(body)}")
            if set(body.decode().splitlines()) - {""} - {
                    f"id: {each}" for each in range(1, 6)} != {f"data: of {attempt}"}:
                self.fail(f"{attempt} {path}: another's events")
        elif body != b"answer to " + attempt.encode():
            self.fail(f"{attempt} {path}: body {body[:60]}")

    def check_runs(self):
        runs = {}
        for run in self.fleet.runs():
            runs.setdefault(run["id"], []).append(run)
        for attempt, each in runs.items():
            path, body = self.sent.get(attempt, (None, None))
            for run in each:
                if (run["target"], run["body"]) != (path, body):
                    self.fail(f"{attempt}: run as {run['target']}, sent {path}")
                if "x-api-key" in run["headers"]:
                    self.fail(f"{attempt}: the key was passed on")
            repeatable = path and path.startswith(("/safe/", "/stream/"))
            if len(each) > (2 if repeatable else 1):
                self.fail(f"{attempt} {path}: {len(each)} runs")
            if not repeatable and self.answers.get(attempt) in NOT_RUN:
                self.fail(f"{attempt} {path}: {self.answers[attempt]}, and ran")

    # ---- What goes wrong ----

    def trouble(self, run):
        kind = self.random.random()
        if kind < 0.02:
            return self.random.choice(
                ("reset_before", "reset_after", "error", "silent", "full",
                 "twice", "break:2") + ("cut:2", "hold:0.4") * self.notices
                + ENDLESS * self.endless)
        return None

    def fault(self):
        """Starts one fault; returns how to end it."""
        choice = self.random.choice((
            self.kill, self.kill, self.freeze, self.stop, self.reload,
            self.worker_proxy, self.worker_proxy, self.store_mode,
            self.store_cut, self.forget, self.lose_writes, self.configure)
            + (self.restore,) * RESTORE_WEIGHT * self.restores
            + (self.worker_unframed, self.worker_leaves) * NOTICE_WEIGHT
            * self.notices)
        self.faults.append(choice.__name__)
        return choice()

    def kill(self):
        host = self.random.choice(self.fleet.hosts)
        host.kill()
        return lambda: self.revive(host)

    def freeze(self):
        host = self.random.choice(self.fleet.hosts)
        host.signal(signal.SIGSTOP)
        return lambda: host.signal(signal.SIGCONT)

    def stop(self):
        host = self.random.choice(self.fleet.hosts)
        host.signal(signal.SIGTERM)
        stopped = host.process

        def again():
            host.signal(signal.SIGCONT)
            stopped.wait(STOP_S)
            self.revive(host)

        return again

    def revive(self, host):
        # Faults overlap: another may have started the host again.
        if host.process.poll() is not None:
            host.start()

    def reload(self):
        host = self.random.choice(self.fleet.hosts)
        # A process that is being loaded has no say in what SIGHUP does to it.
        if time.monotonic() - host.started_at > LOADING_S:
            host.signal(signal.SIGHUP)
        return lambda: None

    def worker_proxy(self):
        proxy = self.random.choice(self.proxies)
        mode = self.random.choice(("delay", "silent", "no_answers", "refuse",
                                   "cut"))
        if mode == "cut":
            proxy.cut()
        else:
            proxy.mode = mode
        return lambda: setattr(proxy, "mode", "pass")

    def worker_unframed(self):
        """Answers of a worker end with their connection for a while."""
        worker = self.random.choice(list(self.fleet.workers.values()))
        worker.until_close = True
        return lambda: setattr(worker, "until_close", False)

    def worker_leaves(self):
        """A worker says that it leaves, and then starts again."""
        place, worker = self.random.choice(
            list(enumerate(self.fleet.workers.values())))
        worker.notices = {"Server-Leaving": "1"}

        def start_again():
            worker.notices = {}
            worker.born += 1
            entry = worker.entry("ready")
            entry["address"] = self.proxies[place].address
            self.fleet.store.put("servers", worker.name, entry)

        return start_again

    def store_mode(self):
        store = self.fleet.store
        store.mode = self.random.choice(("silent", "busy", "reset"))

        def back():
            store.mode = "up"
            store.cut_connections()

        return back

    def store_cut(self):
        self.fleet.store.cut_connections()
        return lambda: None

    def forget(self):
        self.fleet.store.forget_history()
        return lambda: None

    def restore(self):
        """The store is away for a moment and comes back from a copy.

        The operator and the workers then write again what is theirs.
        """
        store = self.fleet.store
        taken = store.copy()

        def put_back():
            store.mode = "reset"
            time.sleep(0.2)
            store.restore(taken)
            store.mode = "up"
            time.sleep(self.random.uniform(0, 1))
            for worker, proxy in zip(self.fleet.workers.values(), self.proxies):
                entry = worker.entry("ready")
                entry["address"] = proxy.address
                store.put("servers", worker.name, entry)
            store.put("config", "main", self.newest)

        return put_back

    def lose_writes(self):
        self.fleet.store.lose_writes = 3
        return lambda: setattr(self.fleet.store, "lose_writes", 0)

    def configure(self):
        self.version += self.random.randint(1, 3)
        more = [route(f"more-{each}", f"/more{each}/", "desk", "safe")
                for each in range(self.random.randint(0, 5))]
        self.newest = config(self.version, routes=config(1)["routes"] + more)
        self.fleet.store.put("config", "main", self.newest)
        return lambda: None

    # ---- A run ----

    def run(self, seconds):
        for worker in self.fleet.workers.values():
            worker.trouble = self.trouble
        callers = [Caller(self, number) for number in range(8)]
        for caller in callers:
            caller.start()
        end = time.monotonic() + seconds
        running = []  # (when it ends, how)
        while time.monotonic() < end:
            running.append((time.monotonic() + self.random.uniform(0.3, 3),
                            self.fault()))
            time.sleep(self.random.uniform(0.2, 1.2))
            for due in [one for one in running if one[0] <= time.monotonic()]:
                running.remove(due)
                due[1]()
        for _, finish in running:
            finish()
        self.check_recovery()
        self.over.set()
        for caller in callers:
            caller.join(10)
        self.check_runs()

    def check_recovery(self):
        for worker in self.fleet.workers.values():
            worker.trouble = lambda run: None
        for place, host in enumerate(self.fleet.hosts):
            if host.process.poll() is not None:
                self.fail(f"{host.name} ended by itself: {host.process.poll()}")
                continue
            for path in KINDS:
                try:
                    wait_until(lambda: self.probe(path, place), "recovery",
                               RECOVERY_S)
                except TimeoutError:
                    self.fail(f"{host.name} does not serve {path} again")
            try:
                wait_until(lambda: host.lines("config_in_force",
                                              version=self.version),
                           "the newest configuration", CONFIG_S)
            except TimeoutError:
                self.fail(f"{host.name} lacks version {self.version}")

    def probe(self, path, place):
        attempt = self.fleet.next_id()
        self.note_sent(attempt, path + "probe", b"payload")
        return self.fleet.call(path + "probe", host=place,
                               attempt=attempt).status == 200

    def report(self):
        served = sum(status == 200 for status in self.answers.values())
        return (f"seed {self.seed}: {len(self.sent)} sent, {served} served, "
                f"{len(self.faults)} faults, {len(self.broken)} broken")


def play(seed, given):
    soak = Soak(seed, given.hosts, given.restores, given.notices,
                given.endless)
    try:
        soak.run(given.seconds)
    finally:
        if given.keep and soak.broken:
            shutil.copytree(soak.fleet.folder, f"{given.keep}/seed-{seed}",
                            dirs_exist_ok=True)
        for proxy in soak.proxies:
            proxy.close()
        soak.fleet.close()
    print(soak.report(), flush=True)
    for each in soak.broken[:10]:
        print("  " + each)
    return not soak.broken


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seed", type=int, action="append", default=[])
    parser.add_argument("--seeds", type=pathlib.Path,
                        help="a file of seeds that once failed")
    parser.add_argument("--seconds", type=float, default=12)
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--restores", action="store_true",
                        help="the store also comes back from older copies")
    parser.add_argument("--notices", action="store_true",
                        help="workers also hold off, leave and answer without "
                        "a length")
    parser.add_argument("--endless", action="store_true",
                        help="some answers do not end")
    parser.add_argument("--keep", help="folder for the logs of failed seeds")
    given = parser.parse_args()
    seeds = list(given.seed)
    if given.seeds:
        seeds += [int(line.split()[0]) for line in
                  given.seeds.read_text().splitlines()
                  if line and not line.startswith("#")]
    results = [play(seed, given)
               for seed in seeds or [random.randrange(10**6)]]
    sys.exit(0 if all(results) else 1)


if __name__ == "__main__":
    main()
