"""Callers of a soak, and the promises that it checks of what they saw."""

import collections
import http.client
import math
import random
import threading
import time

from fleet import wait_until
from platform_fleet import HOST, KEY, events_of

RECOVERY_S = 12
CONFIG_S = 5  # 3 until a host is in touch again, 2 until it is in force
KINDS = ("/safe/", "/once/", "/stream/", "/streamonce/")
MAY_BE_DROPPED = "/more/"  # a route that comes and goes
NOT_RUN = (408, 421, 429, 503)
DEADLINE_S = 3
CONTACT_S = 3  # without disruption, until a host is in touch
TOLD_S = 1.5  # until a host knows the limit after its first request
LIMIT_WINDOW_S = 4
READ_S = 0.2  # a connection that ends later has not crossed its request
# Troubles of a worker that end its answer early.
BREAKING = ("reset_before", "reset_after", "silent", "break", "cut", "endless")
# Time after something planned for which requests count as beside it.
BESIDE_S = {"stop": 0, "reload": 2, "configuration": 3, "silence": 0, "crash": 0}


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
        path = self.random.choice(self.soak.kinds) + attempt
        body = b"x" * self.random.choice((0, 10, 2000))
        self.soak.note_sent(attempt, path, body)
        self.soak.hosts_of[attempt] = self.choose_host()
        began = time.monotonic()
        status, answer, whole = self.exchange(attempt, path, body)
        self.soak.note_answer(attempt, path, status, answer, whole)
        if status == 0:
            self.soak.ends.append((attempt, self.host.name, began,
                                   time.monotonic()))

    def choose_host(self):
        if self.connection is None:
            self.host = self.random.choice(self.soak.fleet.hosts)
        return self.host.name

    def exchange(self, attempt, path, body):
        if self.connection is None:
            self.connection = http.client.HTTPConnection(
                "127.0.0.1", self.host.caller, timeout=6)
        try:
            self.connection.request("POST", path, body, {
                "Host": HOST, "X-Api-Key": KEY,
                "X-Marjorambay-Attempt-Id": attempt,
                "X-Marjorambay-Deadline-Ms": str(1000 * DEADLINE_S)})
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


class Promises:
    """What callers and workers of a soak saw, and what was broken of it."""

    def __init__(self):
        self.lock = threading.Lock()
        self.sent, self.answers, self.broken = {}, {}, []
        self.ends = []  # without an answer: (attempt, host, sent, ended)
        self.lost = collections.Counter()  # of these, by what was beside them
        self.happened = []  # [what, to whom, since, until]
        self.hosts_of = {}  # the host that each attempt was sent to
        self.named = []  # [worker, its limit, since, until]

    def fail(self, what):
        with self.lock:
            self.broken.append(what)

    def happens(self, what, *whom):
        """Notes something; returns how to note its end."""
        since = time.monotonic()
        noted = [[what, each, since, math.inf] for each in whom or [""]]
        self.happened += noted

        def end():
            for each in noted:
                each[3] = min(each[3], time.monotonic())

        return end

    def beside(self, since, until, *whom):
        """What happened to any of these hosts and workers in that time."""
        return {what for what, to, start, end in self.happened
                if to in whom and start <= until
                and end + BESIDE_S.get(what, 0) >= since}

    def note_sent(self, attempt, path, body):
        with self.lock:
            self.sent[attempt] = (path, body)

    def note_answer(self, attempt, path, status, body, signature):
        with self.lock:
            self.answers[attempt] = status
        if status in (401, 404) and not path.startswith(MAY_BE_DROPPED):
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
            repeatable = path and path.startswith(
                ("/safe/", "/stream/", MAY_BE_DROPPED))
            if len(each) > (2 if repeatable else 1):
                self.fail(f"{attempt} {path}: {len(each)} runs")
            if not repeatable and self.answers.get(attempt) in NOT_RUN:
                self.fail(f"{attempt} {path}: {self.answers[attempt]}, and ran")

    def check_ends(self):
        """A whole request that was read ends with an answer or a refusal."""
        arrived = {attempt for worker in self.fleet.workers.values()
                   for attempt, _ in worker.seen}
        for attempt, host, sent, ended in self.ends:
            runs = self.fleet.runs(attempt)
            crossed = attempt not in arrived and ended - sent < READ_S
            broke_off = any(run["trouble"].split(":")[0] in BREAKING
                            for run in runs)
            beside = self.beside(sent, ended, "", host,
                                 *(run["worker"] for run in runs))
            if (crossed or broke_off or ended - sent >= DEADLINE_S
                    or beside & {"kill", "freeze", "disruption"}):
                continue
            among = "+".join(sorted(beside)) or "nothing"
            self.lost[among] += 1
            self.fail(f"{attempt} {self.sent[attempt][0]} lost at {host} after "
                      f"{ended - sent:.2f} s, beside {among}")

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

    def check_limits(self):
        """No worker got more than one and a half times its limit, + 5."""
        for worker, limit, since, until in self.named:
            times = self.limited_arrivals(worker, since, until or math.inf)
            most = max((sum(first <= at < first + LIMIT_WINDOW_S
                            for at in times) for first in times), default=0)
            if most > 1.5 * limit * LIMIT_WINDOW_S + 5:
                self.fail(f"{worker.name} had named a limit of {limit} and got "
                          f"{most} requests in {LIMIT_WINDOW_S} s")

    def limited_arrivals(self, worker, since, until):
        """Times at which a limited worker got requests from hosts that knew its
        limit and were in touch, as it was itself."""
        told, times = {}, []
        for attempt, at in list(worker.seen):
            host = self.hosts_of.get(attempt)
            if not since <= at < until or host is None:
                continue
            told.setdefault(host, at + TOLD_S)
            in_touch = not self.beside(at - CONTACT_S, at, host, worker.name)
            if in_touch and at >= max(told[host], since + CONTACT_S):
                times.append(at)
        return times
