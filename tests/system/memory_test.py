"""Loads on one daemon that is told the memory that it may use."""

import socket
import threading
import time
import unittest

from fleet import wait_until
from platform_fleet import HOST, KEY, PlatformFleet, config, route

MEMORY_MB = 110
LONG = 4 << 20


def limited_config():
    first = config(3)
    first["limits"]["max_body_bytes"] = LONG
    first["routes"] += [route("long", "/long/", "desk", "unsafe",
                              max_attempts=1, timeout_ms=8000),
                        route("engine", "/engine/", "pool", "safe",
                              timeout_ms=8000)]
    return first


def head_of(attempt, path, length):
    return (f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Api-Key: {KEY}\r\n"
            f"X-Marjorambay-Attempt-Id: {attempt}\r\n"
            f"X-Marjorambay-Deadline-Ms: 8000\r\n"
            f"Content-Length: {length}\r\n\r\n").encode()


class MemoryTest(unittest.TestCase):
    """Guards against a daemon that is ended because it exceeds the memory that
    it is told, and loses the requests in it."""

    def setUp(self):
        self.fleet = PlatformFleet(hosts=1, workers=3, first=limited_config(),
                                   limits={"memory_mb": MEMORY_MB})
        self.addCleanup(self.fleet.close)
        self.sockets = []
        self.addCleanup(lambda: [each.close() for each in self.sockets])
        self.host = self.fleet.hosts[0]

    def peak_mb(self):
        with open(f"/proc/{self.host.process.pid}/status") as status:
            return next(int(line.split()[1]) for line in status
                        if line.startswith("VmHWM:")) * 1024 / 1e6

    def check(self, answers=()):
        peak = self.peak_mb()
        statuses = [each.status for each in answers]
        print(f"{self._testMethodName}: peak {peak:.0f} MB of {MEMORY_MB}, "
              f"{ {each: statuses.count(each) for each in set(statuses)} }")
        self.assertLess(peak, MEMORY_MB)
        self.assertIsNone(self.host.process.poll())
        for answer in answers:
            self.assertIsNotNone(answer.status, answer.failure)
            if answer.status == 503:
                self.assertIn("Retry-After", answer.headers)
                self.assertEqual(self.fleet.runs(answer.attempt), [])

    def upload_all(self, count, path, spread=0.0):
        answers, body = [], b"x" * LONG

        def upload():
            answers.append(self.fleet.call(path, body=body, deadline_ms=8000,
                                           timeout=30))

        threads = [threading.Thread(target=upload) for _ in range(count)]
        for thread in threads:
            thread.start()
            time.sleep(spread)
        for thread in threads:
            thread.join()
        return answers

    def open_all(self, count, request):
        for number in range(count):
            caller = socket.create_connection(("127.0.0.1", self.host.caller))
            self.sockets.append(caller)
            caller.setblocking(False)
            try:
                caller.send(request(number))
            except BlockingIOError:
                pass

    def push_all(self, seconds, rest):
        """Sends on each connection as much of the rest as it takes."""
        sent = dict.fromkeys(self.sockets, 0)
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for caller in self.sockets:
                try:
                    sent[caller] += caller.send(
                        rest[sent[caller]:sent[caller] + (1 << 20)])
                except OSError:
                    pass
            time.sleep(0.01)

    def test_uploads_at_once(self):
        answers = self.upload_all(40, "/safe/a")
        self.assertGreater(sum(each.status == 200 for each in answers), 5)
        self.check(answers)

    def test_uploads_for_workers_that_read_late(self):
        for worker in self.fleet.of("desk"):
            worker.deaf = 4
        self.check(self.upload_all(40, "/long/a", spread=0.05))

    def test_uploads_queued_for_an_engine_pool(self):
        for worker in self.fleet.of("pool"):
            worker.seconds = 2.0
        self.check(self.upload_all(60, "/engine/a"))

    def test_callers_that_send_all_but_the_last_bytes(self):
        self.open_all(100, lambda number: head_of(f"part-{number}", "/safe/a",
                                                  LONG))
        pusher = threading.Thread(
            target=self.push_all, args=(4, b"x" * (LONG - 10)))
        pusher.start()
        short = []
        while pusher.is_alive():
            short.append(self.fleet.call("/safe/b"))
            time.sleep(0.1)
        pusher.join()
        self.assertEqual({each.status for each in short}, {200})
        self.check(short)
        self.assertTrue(self.host.lines("memory_pressure_started"))
        self.assertIn('marjorambay_memory_held_bytes{owner="request_bodies"}',
                      self.host.metrics_text())

    def test_unfinished_heads(self):
        self.open_all(900, lambda number: b"GET /a HTTP/1.1\r\nX: "
                      + b"y" * 8000)
        self.check([self.fleet.call("/safe/b")])

    def test_a_stop_answers_requests_that_wait_for_memory(self):
        self.open_all(40, lambda number: head_of(f"part-{number}", "/safe/a",
                                                 LONG))
        wait_until(lambda: self.host.lines("memory_pressure_started"),
                   "requests wait")
        self.host.signal(15)
        time.sleep(1)
        answers = []
        for caller in self.sockets:
            try:
                answers.append(caller.recv(65536))
            except OSError:
                answers.append(b"")
        refused = [each for each in answers if b" 503 " in each]
        self.assertGreater(len(refused), 20)
        self.assertTrue(all(b"Retry-After" in each for each in refused))


if __name__ == "__main__":
    unittest.main(verbosity=2)
