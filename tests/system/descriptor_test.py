"""Descriptors of real processes: more callers than a host may have connections,
sockets that fail, and what is open after storms."""

import os
import pathlib
import resource
import socket
import subprocess
import time
import unittest

from fleet import BIN, wait_until
from platform_fleet import HOST, KEY, PlatformFleet, dump

TICKS = os.sysconf("SC_CLK_TCK")
REQUEST = (f"GET /safe/a HTTP/1.1\r\nHost: {HOST}\r\nX-Api-Key: {KEY}\r\n"
           "X-Marjorambay-Attempt-Id: {}\r\n"
           "X-Marjorambay-Deadline-Ms: 4000\r\n\r\n")


def processor_share(pid, seconds=2):
    """Processors that a process uses over some time."""

    def used():
        fields = pathlib.Path(f"/proc/{pid}/stat").read_text()
        return sum(map(int, fields.rpartition(")")[2].split()[11:13])) / TICKS

    before, start = used(), time.monotonic()
    time.sleep(seconds)
    return (used() - before) / (time.monotonic() - start)


def open_descriptors(pid):
    return len(os.listdir(f"/proc/{pid}/fd"))


def restart_limited(host, limit):
    """Starts a host again with a limit of descriptors."""
    host.kill()
    output = open(host.log, "ab")
    host.process = subprocess.Popen(
        [BIN / "marjorambayd", "--config", host.settings], stdout=output,
        stderr=output, preexec_fn=lambda: resource.setrlimit(
            resource.RLIMIT_NOFILE, (limit, limit)))
    output.close()
    wait_until(host.ready, f"{host.name} ready")


class DescriptorCase(unittest.TestCase):
    def setUp(self):
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 8192), hard))
        self.addCleanup(resource.setrlimit, resource.RLIMIT_NOFILE,
                        (soft, hard))
        self.fleet = PlatformFleet(hosts=1)
        self.addCleanup(self.fleet.close)
        self.host = self.fleet.hosts[0]
        self.callers = []
        self.addCleanup(self.close_callers)

    def close_callers(self):
        for each in self.callers:
            each.close()
        self.callers.clear()

    def connect(self, count):
        """Opens connections of callers, without waiting for any."""
        for _ in range(count):
            caller = socket.socket()
            caller.setblocking(False)
            caller.connect_ex(("127.0.0.1", self.host.caller))
            self.callers.append(caller)
        time.sleep(0.5)

    def assert_idle(self):
        self.assertLess(processor_share(self.host.process.pid), 0.5)


class FullHostTest(DescriptorCase):
    # Guards against a host that turns in a loop, using a whole processor, when
    # it has no descriptor for a caller that waits to be accepted.
    def test_a_host_without_descriptors_does_not_spin(self):
        for limit in (300, 900):
            with self.subTest(limit):
                restart_limited(self.host, limit)
                self.connect(1300)
                self.assert_idle()
                self.close_callers()
                wait_until(lambda: self.fleet.call("/safe/a").status == 200,
                           "serves again")

    # Guards against callers that are reset without an answer.
    def test_callers_above_the_limit_get_an_answer(self):
        self.host.settings.write_text(self.host.settings.read_text().replace(
            "max_connections = 1500", "max_connections = 100"))
        restart_limited(self.host, 8192)
        for worker in self.fleet.of("desk"):
            worker.trouble = lambda run: "silent"
        self.connect(140)
        for number, caller in enumerate(self.callers):
            caller.setblocking(True)
            caller.settimeout(15)
            caller.sendall(REQUEST.format(f"flood-{number}").encode())
        first = [caller.recv(1 << 16) for caller in self.callers]
        self.assertNotIn(b"", first)
        rejected = [each for each in first
                    if b"too_many_connections" in each]
        self.assertTrue(rejected)
        for each in rejected:
            self.assertTrue(each.startswith(b"HTTP/1.1 503 "), each)
            self.assertIn(b"Retry-After: ", each)


class FloodTest(DescriptorCase):
    # Guards against callers that keep a host from its store, its targets, its
    # probes or its operators.
    def test_a_flood_of_callers_leaves_the_others_their_descriptors(self):
        restart_limited(self.host, 400)
        self.connect(1300)
        for _ in range(5):
            self.assertTrue(self.host.ready())
            answer = self.fleet.call("/safe/a")
            self.assertEqual(answer.status, 200, dump(answer))
        self.fleet.configure(4)
        wait_until(lambda: self.fleet.in_force(4), "a new configuration")
        metrics = self.host.metrics_text()
        self.assertIn('marjorambay_descriptors_limit{share="callers"}', metrics)
        self.assertTrue(self.host.lines("callers_full"))
        self.assertFalse(self.host.lines("accept_failed"))


class TargetTest(DescriptorCase):
    # Guards against a target that is left out, and a request that fails,
    # because the host had no descriptor for a connection for a moment.
    def test_a_host_without_descriptors_does_not_blame_its_targets(self):
        self.connect(1)
        caller = self.callers[0]
        caller.setblocking(True)
        caller.settimeout(10)
        caller.sendall(REQUEST.format("before").encode())
        self.assertIn(b" 200 ", caller.recv(1 << 16))
        for worker in self.fleet.of("desk"):
            worker.cut_connections()
        pid = self.host.process.pid
        limits = resource.prlimit(pid, resource.RLIMIT_NOFILE)
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (3, limits[1]))
        caller.sendall(REQUEST.format("without").encode())
        time.sleep(0.4)
        resource.prlimit(pid, resource.RLIMIT_NOFILE, limits)
        answer = caller.recv(1 << 16)
        self.assertIn(b" 200 ", answer)
        self.assertTrue(self.host.lines("attempt_failed", cause="no_resource"))
        self.assertFalse(self.host.lines("attempt_failed", cause="refused"))


class LeakTest(DescriptorCase):
    # Guards against descriptors that stay open after their connection.
    def test_storms_leave_no_descriptor_open(self):
        pid = self.host.process.pid
        self.fleet.call("/safe/a")
        wait_until(lambda: open_descriptors(pid) < 40, "a settled host")
        base = open_descriptors(pid)
        for _ in range(3):
            self.connect(300)
            for caller in self.callers[:100]:
                caller.setblocking(True)
                caller.sendall(REQUEST.format("storm").encode())
            for caller in self.callers[100:150]:
                caller.setblocking(True)
                caller.sendall(b"GET /safe/a HTT")
            for caller in self.callers[150:200]:
                caller.shutdown(socket.SHUT_WR)
            self.close_callers()
        for worker in self.fleet.of("desk"):
            worker.restart_silently()
        self.fleet.store.cut_connections()
        for _ in range(20):
            self.fleet.call("/safe/a")
        wait_until(lambda: open_descriptors(pid) <= base + 4,
                   f"at most {base + 4} descriptors", 30)


class SpinTest(DescriptorCase):
    def churn(self, seconds):
        """Connects and closes at once."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            caller = socket.socket()
            caller.connect_ex(("127.0.0.1", self.host.caller))
            caller.close()
            time.sleep(0.001)

    # Guards against loops that turn without progress.
    def test_a_host_rests_when_nothing_is_asked(self):
        self.assert_idle()
        with self.subTest("half-open callers"):
            self.connect(50)
            for caller in self.callers:
                caller.shutdown(socket.SHUT_WR)
            self.assert_idle()
            self.close_callers()
        with self.subTest("callers that have closed"):
            self.churn(1)
            self.assert_idle()
        with self.subTest("targets that are gone"):
            for worker in self.fleet.of("desk"):
                worker.close()
            self.fleet.call("/safe/a")
            self.assert_idle()
        with self.subTest("no store"):
            self.fleet.store.close()
            self.assert_idle()


if __name__ == "__main__":
    unittest.main()
