#!/usr/bin/env python3
"""A randomized fault soak of forwarded routes, on real processes.

soak.py [--seed N] [--seconds S] [--hosts N] [--restores] [--notices]
        [--silences] [--changes] [--endless] [--limits] [--surroundings]
        [--memory-mb N] [--keep FOLDER]

Callers keep their connections open and send requests of every kind, while
workers, the store, connections and processes fail in overlapping series. What
callers and workers saw is checked against the promises: an answer is whole and
the caller's own; an unsafe request runs once at most, and not at all if it was
told so; nothing reaches a worker that no caller sent; known keys and routes are
never denied; a whole request that was read ends with an answer or a refusal; no
process ends by itself, fails to start, or turns with nothing to do; and after the
last fault all hosts serve again.
"""

import argparse
import pathlib
import random
import shutil
import sys
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "tests/system"), str(ROOT / "tests/standins"),
                str(ROOT / "tests/soak")]
from platform_fleet import PlatformFleet, config  # noqa: E402
from faults import Faults  # noqa: E402
from promises import KINDS, MAY_BE_DROPPED, Caller, Promises  # noqa: E402
from proxy import Proxy  # noqa: E402
from surroundings import BODY_BYTES, OPEN_FILES  # noqa: E402


class Soak(Faults, Promises):
    def __init__(self, seed, given):
        Promises.__init__(self)
        self.seed, self.restores, self.notices = seed, given.restores, given.notices
        self.silences, self.changes = given.silences, given.changes
        self.endless, self.limits = given.endless, given.limits
        self.surroundings, self.memory_mb = given.surroundings, given.memory_mb
        self.kinds = KINDS + (MAY_BE_DROPPED,) * self.changes
        self.random = random.Random(seed)
        self.over = threading.Event()
        self.faults = []
        self.version = 3
        self.newest = config(3)  # as the operator last wrote it
        limits = {}
        if self.surroundings:
            limits = {"memory_mb": self.memory_mb, "max_open_files": OPEN_FILES}
        self.fleet = PlatformFleet(hosts=given.hosts, workers=3, limits=limits,
                                   first=self.roomy(self.newest))
        if self.surroundings:
            for host in self.fleet.hosts:
                self.limit_files(host)
        self.proxies = []
        for worker in self.fleet.workers.values():
            proxy = Proxy(self.fleet.runner, worker.port)
            entry = worker.entry("ready")
            entry["address"] = proxy.address
            self.fleet.store.put("servers", worker.name, entry)
            self.proxies.append(proxy)

    def roomy(self, new):
        if self.surroundings:
            new["limits"]["max_body_bytes"] = BODY_BYTES
        return new

    # ---- A run ----

    def run(self, seconds):
        for worker in self.fleet.workers.values():
            worker.trouble = self.trouble
            worker.gap = 0.08 if self.silences else worker.gap
        # With silences, streams last longer and nearly fill the engines.
        callers = [Caller(self, number)
                   for number in range(24 if self.silences else 8)]
        self.watch_processes()
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
        if self.changes:
            self.configure()  # without the limits of an account
        self.check_recovery()
        self.over.set()
        for caller in callers:
            caller.join(10)
        self.watched.join()
        self.check_processes()
        self.check_runs()
        self.check_ends()
        self.check_limits()

    def report(self):
        served = sum(status == 200 for status in self.answers.values())
        return (f"seed {self.seed}: {len(self.sent)} sent, {served} served, "
                f"{len(self.faults)} faults, {len(self.broken)} broken, "
                f"{len(self.ends)} without answer, lost {dict(self.lost)}, "
                f"peak {max(self.peak_kb.values(), default=0) >> 10} MB")


def play(seed, given):
    soak = Soak(seed, given)
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
    parser.add_argument("--silences", action="store_true",
                        help="sound workers also fall silent for about a "
                        "second; many workers also crash at once")
    parser.add_argument("--changes", action="store_true",
                        help="configurations also change weights, times, "
                        "limits, accounts and services, in series")
    parser.add_argument("--endless", action="store_true",
                        help="some answers do not end")
    parser.add_argument("--limits", action="store_true",
                        help="workers also name limits on their rate")
    parser.add_argument("--surroundings", action="store_true",
                        help="limits, ports, settings, signals, long bodies and "
                        "slow readers are against the processes, too")
    parser.add_argument("--memory-mb", type=int, default=88,
                        help="what each process is told and allowed, with "
                        "--surroundings")
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
