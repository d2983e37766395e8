"""An entry whose fields are of another type, nested deep. See claim.txt."""

import itertools
import json
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from harness import (TROUBLE, Broken, Caller, PlatformFleet, config, route,
                     run_case, run_threads)
import users_platform

VALUE_BYTES = 1_048_576  # an object is this large at most
DEPTH = 400_000  # lists within lists in one field; 800 kB of JSON text
RESTART_S = 0.3  # "restarted after a short delay"
RUN_S = 0.3


class RawJson:
    """The store's JSON. Python's own writer can't write what is nested so deep,
    which the store hands out as it got it."""

    loads = staticmethod(json.loads)

    @staticmethod
    def dumps(value):
        return json.dumps(value).replace('"NESTED"', "[" * DEPTH + "]" * DEPTH)


def play(record):
    assert 2 * DEPTH + 500 < VALUE_BYTES
    users_platform.json = RawJson
    first = config(3)
    first["routes"] = [
        route("once", "/once/", "desk", "unsafe", max_attempts=1)]
    fleet = PlatformFleet(hosts=3, workers=3, first=first)
    ends = [0, 0, 0]
    try:
        for worker in fleet.of("desk"):
            worker.seconds, worker.slots = RUN_S, 20
            worker.register("ready")
        time.sleep(1)
        until = time.monotonic() + 8

        def write():
            time.sleep(1)
            if TROUBLE:
                record("another writer's entry: servers/foreign-1, its models "
                       f"are {DEPTH} lists within each other")
                fleet.store.put("servers", "foreign-1", {
                    "service": "desk", "state": "ready", "seq": 1,
                    "models": "NESTED"})

        def restart():
            while time.monotonic() < until:
                for number, host in enumerate(fleet.hosts):
                    if host.process.poll() is not None:
                        ends[number] += 1
                        record(f"{host.name} has ended by itself: "
                               f"{host.process.returncode}")
                        time.sleep(RESTART_S)
                        host.start()
                time.sleep(0.02)

        sent, answers, kept = call_all(record, fleet, until, [write, restart])
        judge(record, fleet, ends, sent, answers, kept)
    finally:
        fleet.close()


def call_all(record, fleet, until, others):
    sent, answers, kept = {}, {}, {}
    numbers = itertools.count(1)

    def call(host):
        caller = Caller(fleet.hosts[host].caller)
        while time.monotonic() < until:
            attempt = f"once-{next(numbers)}"
            kept[attempt] = caller.socket is not None
            sent[attempt] = time.monotonic()
            answers[attempt] = caller.request(attempt, "/once/a")
            time.sleep(random.uniform(0.02, 0.1))

    run_threads([lambda host=host: call(host)
                 for host in (0, 1, 2) for _ in range(4)] + others)
    return sent, answers, kept


def judge(record, fleet, ends, sent, answers, kept):
    statuses = [status for status, _ in answers.values()]
    record(f"{len(sent)} requests sent, "
           f"{statuses.count(200)} answered with 200")
    record.requests(sent, answers)
    record.runs(fleet)
    lost = 0
    for run in fleet.runs():
        status, why = answers[run["id"]]
        if status == 0 and kept[run["id"]]:
            lost += 1
            record(f"{run['id']} was passed on to {run['worker']} from a kept "
                   f"connection, and had no answer: {why}")
    last = [status for attempt, (status, _) in answers.items()
            if sent[attempt] > max(sent.values()) - 2]
    served = last.count(200) / max(1, len(last))
    record(f"requests of kept connections passed on and not answered: {lost}")
    record(f"ends of the daemons by themselves: {ends}")
    record(f"served in the last 2 s: {served:.0%}")
    if lost > 3 or sum(each >= 3 for each in ends) >= 2:
        raise Broken(f"{lost} requests of kept connections were passed on and "
                     f"never answered; the daemons ended by themselves {ends} "
                     f"times; {served:.0%} served in the last 2 s")


run_case(pathlib.Path(__file__).resolve().parent, play)
