"""Workers in need that turn requests away, and a late second answer. See
claim.txt."""

import asyncio
import itertools
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from harness import (TROUBLE, Broken, Caller, PlatformFleet, config, route,
                     run_case, run_threads)
import platform_fleet
import users_platform

WORKERS = 3
GARBLED = 1  # of these workers; 0.33 of them, at most 0.6 on the site
EXTRA = 0.03  # of its answers come twice, the largest share on the site
SHED = 0.4  # of the requests are turned away; see claim.txt
LIMIT = 240  # requests a second that each worker takes
RUN_S = 0.015
PLAY_S = 80
CLIENTS = 24
ATTEMPTS = 2  # max_attempts of the route


class Desk(users_platform.Worker):
    """A worker in need: it names a limit, and turns a share of its requests
    away as not executed. One that is garbled repeats a share of its answers; the
    second one arrives where the next answer on the connection is expected."""

    def __init__(self, *given, **named):
        super().__init__(*given, **named)
        self.random = random.Random(self.name)
        self.garbled = False
        self.extras = 0
        self.turned_away = []

    async def exchange(self, reader, writer):
        message = await users_platform.read_message(reader)
        if message is None:
            return False
        _, headers, body = message
        attempt = headers["x-marjorambay-attempt-id"]
        late, writer.late = getattr(writer, "late", b""), b""
        if late:
            writer.write(late)
        if headers.get("x-marjorambay-expect-instance") != self.name:
            return await self._say(writer, headers, 421, b"", {})
        if self.random.random() < SHED:
            self.turned_away.append((attempt, time.monotonic()))
            return await self._answer(writer, attempt, 503, b"",
                                      "X-Marjorambay-Not-Executed: 1\r\n")
        run = {"id": attempt, "worker": self.name, "at": time.monotonic(),
               "body": body, "done": False}
        self.runs.append(run)
        await asyncio.sleep(RUN_S)
        run["done"] = True
        return await self._answer(writer, attempt, 200,
                                  b"answer to " + attempt.encode(), "")

    async def _answer(self, writer, attempt, status, body, more):
        answer = (f"HTTP/1.1 {status} X\r\nX-Marjorambay-Attempt-Id: {attempt}\r\n"
                  f"X-Marjorambay-Server-Signature: sign-{self.name}\r\n"
                  f"Server-Limit: {LIMIT}\r\n{more}"
                  f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        writer.write(answer)
        await writer.drain()
        if self.garbled and self.random.random() < EXTRA:
            self.extras += 1
            writer.late = answer
        return True


def play(record):
    platform_fleet.Worker = Desk
    first = config(3)
    first["routes"] = [route("ballot", "/ballot/", "desk", "unsafe",
                             max_attempts=ATTEMPTS)]
    fleet = PlatformFleet(hosts=3, workers=WORKERS, first=first)
    sent, answers, ballots = {}, {}, {}
    numbers = itertools.count(1)
    end = time.monotonic() + PLAY_S
    try:
        for number in range(GARBLED if TROUBLE else 0):
            fleet.workers[f"desk-{number}"].garbled = True

        def call(client):
            chance = random.Random(client)
            caller = Caller(fleet.hosts[client % 3].caller)
            while time.monotonic() < end:
                cast = f"ballot-{next(numbers)}"
                for again in range(2):  # the client retries once after a promise
                    attempt = f"{cast}-{again}"
                    ballots[attempt] = cast
                    sent[attempt] = time.monotonic()
                    answers[attempt] = caller.request(attempt, "/ballot/a")
                    if answers[attempt][0] not in (408, 421, 429, 503):
                        break
                    time.sleep(0.1)
                time.sleep(chance.uniform(0.02, 0.08))

        run_threads([lambda client=client: call(client)
                     for client in range(CLIENTS)])
        judge(record, fleet, sent, answers, ballots)
    finally:
        fleet.close()


def judge(record, fleet, sent, answers, ballots):
    runs = {}
    for run in fleet.runs():
        runs.setdefault(run["id"], []).append(run)
    statuses = [status for status, _ in answers.values()]
    record(f"{len(sent)} requests sent; statuses "
           f"{ {each: statuses.count(each) for each in sorted(set(statuses))} }")
    desks = fleet.of("desk")
    record(f"runs: {[len(each.runs) for each in desks]}, turned away: "
           f"{[len(each.turned_away) for each in desks]}, second answers: "
           f"{[each.extras for each in desks]}")
    away = {}
    for each in desks:
        for attempt, at in each.turned_away:
            away.setdefault(attempt, []).append((each.name, at))
    refused = [attempt for attempt in runs
               if answers[attempt][0] in (408, 421, 429, 503)]
    twice = [attempt for attempt in runs if len(runs[attempt]) > 1]
    for attempt in refused + twice:
        record(f"{attempt} sent at {sent[attempt] - record.started_at:.3f}")
        for name, at in away.get(attempt, []):
            record(f"  {name} turned it away at {at - record.started_at:.3f}")
        for run in runs[attempt]:
            record(f"  {run['worker']} ran it at "
                   f"{run['at'] - record.started_at:.3f}")
        record(f"  the client got {answers[attempt][0]}")
    for attempt in sent:
        record(f"{attempt}: {answers[attempt][0]}, run by "
               f"{','.join(run['worker'] for run in runs.get(attempt, [])) or 'none'}")
    cast = {}
    for attempt, done in runs.items():
        cast.setdefault(ballots[attempt], []).extend(done)
    doubled = [name for name, done in cast.items() if len(done) > 1]
    record(f"refused and run: {len(refused)}; run twice: {len(twice)}; ballots "
           f"that ran twice, as the client trusted the refusal: {len(doubled)}")
    if refused or twice:
        raise Broken(f"{len(refused)} unsafe requests were answered as not run "
                     f"and had run; {len(twice)} ran twice; {len(doubled)} "
                     f"ballots were cast twice")


run_case(pathlib.Path(__file__).resolve().parent, play)
