"""Planned stops of hosts of forwarded routes whose grace is short.

Callers use their connections until the host is gone. Each request that the host
has read is answered, whether it was sent to a worker or still waits.
"""
import http.client
import random
import signal
import socket
import threading
import time
import unittest

from fleet import wait_until
from platform_fleet import HOST, KEY, PlatformFleet, config

# A request that crosses the end of its connection is not read, and fails at
# once. After this time it was read.
CROSSING_SECONDS = 0.2


class Caller:
    """Sends requests one after the other until its host takes none."""

    def __init__(self, fleet, host, draw):
        self.fleet, self.host, self.draw = fleet, host, draw
        self.ended = []  # (id, path, status or failure, sent at, seconds, host)
        self.thread = threading.Thread(target=self.work, daemon=True)
        self.thread.start()

    def work(self):
        connection = None
        while True:
            if connection is None:
                connection = http.client.HTTPConnection(
                    "127.0.0.1", self.host.caller, timeout=20)
            path, attempt = self.draw(), self.fleet.next_id()
            sent_at = time.monotonic()
            try:
                connection.request("POST", path, b"payload", {
                    "Host": HOST, "X-Api-Key": KEY,
                    "X-Marjorambay-Attempt-Id": attempt})
                reply = connection.getresponse()
                reply.read()
                outcome, closes = reply.status, reply.will_close
            except ConnectionRefusedError:
                return
            except (OSError, http.client.HTTPException) as failure:
                outcome, closes = repr(failure), True
            self.ended.append((attempt, path, outcome, sent_at,
                               time.monotonic() - sent_at, self.host.name))
            if closes:
                connection.close()
                connection = None
            time.sleep(0.02)


class PlannedStopTest(unittest.TestCase):
    def setUp(self):
        self.last_sixths = {}  # when that of the grace began, by host

    def fleet(self, grace, **options):
        fleet = PlatformFleet(bounds={"grace_period_s": grace}, **options)
        self.addCleanup(fleet.close)
        return fleet

    def stop(self, host, grace):
        stopped_at = time.monotonic()
        self.last_sixths[host.name] = stopped_at + grace * 5 / 6
        host.signal(signal.SIGTERM)
        self.assertEqual(host.process.wait(grace + 1), 0)
        self.assertLess(time.monotonic() - stopped_at, grace)
        return stopped_at

    def check(self, fleet, ended):
        """No request is lost, and none that has run is called not run."""
        ran = {run["id"] for run in fleet.runs()}
        for attempt, path, outcome, sent_at, lasted, host in ended:
            case = f"{path} {outcome} after {lasted:.2f} s"
            begun = path.startswith("/stream") and "IncompleteRead" in str(outcome)
            if begun and sent_at + lasted >= self.last_sixths[host]:
                continue  # there is no other way to end it
            if not isinstance(outcome, int):
                self.assertFalse(attempt in ran or lasted > CROSSING_SECONDS,
                                 f"no answer: {case}")
            if outcome == 503 and path.startswith("/once"):
                self.assertNotIn(attempt, ran, f"refused, and has run: {case}")

    # Guards against a stopping host that takes requests until the end of a
    # short grace, and then cuts them.
    def test_requests_that_outlast_the_grace_are_answered(self):
        for grace in (1, 2, 3):
            with self.subTest(grace=grace):
                fleet = self.fleet(grace, hosts=1)
                for worker in fleet.of("desk"):
                    worker.seconds = 1.5
                paths = iter(["/safe/a", "/once/a"] * 100)
                callers = []
                for _ in range(12):  # spread over the grace
                    callers.append(Caller(fleet, fleet.hosts[0],
                                          lambda path=next(paths): path))
                    time.sleep(0.1)
                self.stop(fleet.hosts[0], grace)
                for caller in callers:
                    caller.thread.join(5)
                ended = [each for caller in callers for each in caller.ended]
                self.check(fleet, ended)
                self.assertTrue(any(each[2] == 503 for each in ended))

    # Guards against a host that cuts requests which still wait for a slot.
    def test_requests_that_wait_for_a_slot_are_refused(self):
        grace = 3
        first = config(3)
        for route in first["routes"]:
            route.update(timeout_ms=20000, target_latency_ms=15000)
        fleet = self.fleet(grace, hosts=1, workers=1, first=first)
        for worker in fleet.of("pool"):
            worker.events, worker.gap = 100, 0.1
        callers = [Caller(fleet, fleet.hosts[0], lambda: "/stream/a")
                   for _ in range(30)]
        wait_until(lambda: len(fleet.runs()) >= 4, "all slots in use")
        self.stop(fleet.hosts[0], grace)
        for caller in callers:
            caller.thread.join(5)
        ran = {run["id"] for run in fleet.runs()}
        waited = [each for caller in callers for each in caller.ended
                  if each[0] not in ran and each[4] > 2]
        self.assertGreaterEqual(len(waited), 3)
        self.check(fleet, waited)

    # Guards against a host that ends while a body is on its way.
    def test_a_body_that_is_on_its_way_is_refused(self):
        grace = 3
        fleet = self.fleet(grace, hosts=1)
        callers = []
        for _ in range(2):
            caller = socket.create_connection(
                ("127.0.0.1", fleet.hosts[0].caller), timeout=10)
            self.addCleanup(caller.close)
            caller.sendall(
                f"POST /once/a HTTP/1.1\r\nHost: {HOST}\r\nX-Api-Key: {KEY}\r\n"
                "X-Marjorambay-Attempt-Id: body\r\nContent-Length: 9\r\n\r\nhalf"
                .encode())
            callers.append(caller)
        began = time.monotonic()
        fleet.hosts[0].signal(signal.SIGTERM)
        time.sleep(2.55)  # accepts nothing new
        callers[0].sendall(b" done")  # the other one never sends the rest
        for caller in callers:
            reply = http.client.HTTPResponse(caller)
            reply.begin()
            self.assertEqual(reply.status, 503)
        self.assertEqual(fleet.hosts[0].process.wait(grace + 1), 0)
        self.assertLess(time.monotonic() - began, grace)
        self.assertEqual(fleet.runs(), [])

    # Guards against a second signal that shortens the stop or starts it anew.
    def test_signals_that_overlap_change_nothing(self):
        grace = 3
        fleet = self.fleet(grace, hosts=1)
        host = fleet.hosts[0]
        for worker in fleet.of("desk"):
            worker.seconds = 0.8
        callers = [Caller(fleet, host, lambda: "/once/a") for _ in range(4)]
        time.sleep(0.3)
        began = time.monotonic()
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM,
                       signal.SIGINT, signal.SIGHUP, signal.SIGTERM):
            host.signal(number)
            time.sleep(0.3)
        self.assertEqual(host.process.wait(grace + 1), 0)
        self.assertLess(time.monotonic() - began, grace)
        for caller in callers:
            caller.thread.join(5)
        self.check(fleet, [each for caller in callers for each in caller.ended])
        self.assertEqual(len(host.lines("drain_started")), 1)

    # Guards against orders of requests, lengths and stops that no other test
    # names: hosts stop in turn, each under a load of all kinds.
    def test_hosts_that_stop_in_turn_lose_nothing(self):
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                draw = random.Random(seed)
                grace = draw.choice((2, 4, 6))
                fleet = self.fleet(grace, hosts=2)
                for worker in fleet.of("pool"):
                    worker.events, worker.gap = draw.randint(2, 10), 0.05
                for worker in fleet.of("desk"):
                    worker.seconds = draw.uniform(0.05, 2)
                    worker.trouble = lambda run: draw.choice(
                        (None, None, "full", "late_full:0.3"))
                callers = [
                    Caller(fleet, host, lambda: draw.choice(
                        ("/safe/a", "/once/a", "/stream/a")))
                    for host in fleet.hosts for _ in range(6)]
                for host in fleet.hosts:
                    time.sleep(draw.uniform(0.1, 1))
                    self.stop(host, grace)
                ended = []
                for caller in callers:
                    caller.thread.join(5)
                    ended += caller.ended
                self.check(fleet, ended)
                once = [run["id"] for run in fleet.runs()
                        if run["target"].startswith("/once")]
                self.assertEqual(len(once), len(set(once)))


if __name__ == "__main__":
    unittest.main()
