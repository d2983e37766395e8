"""Starts of a host in surroundings that are not ready, or odd."""

import copy
import os
import pathlib
import random
import re
import resource
import signal
import socket
import subprocess
import tempfile
import time
import unittest

from fleet import BIN, ROOT, reserve_ports, wait_until
from platform_fleet import get, render

TEMPLATE = (ROOT / "deploy/settings.ini").read_text()
ODD = [None, "", 0, 8.0, 7.5, 0.25, 1e3, 1e30, -1, "many", [], False]
HELD_S = 0.7  # for which a port or the settings are not to be had
CLOSED = "127.0.0.1:1"  # no store answers there


def fields_of(ports):
    caller, ready, peer, _ = ports
    return {
        "node_name": "entry-0", "zone": "zone-a", "region": "region-a",
        "ip_address": "127.0.0.1", "internal_port_range": [peer, peer + 15],
        "listen_addresses": {"frontend": f"127.0.0.1:{caller}",
                             "readiness": f"127.0.0.1:{ready}"},
        "platform": {"address": CLOSED}, "zones": {"zone-a": "region-a"},
        "limits": {"cpu_quota": 0.25, "link_mbps": 1000.0, "memory_mb": 110,
                   "max_open_files": 4100},
        "bounds": {"retry_budget_ratio": 0.2, "retry_min_extra": 56,
                   "quota_window_s": 8, "quota_overrun": 0.1,
                   "quota_slack": 72000, "canary_share": 0.1,
                   "canary_slack": 50, "evacuation_ms": 2000,
                   "warmup_overrun": 1.5, "warmup_slack": 5,
                   "grace_period_s": 8}}


def changed(fields, path, value):
    result = copy.deepcopy(fields)
    *outer, last = path.split(".")
    inside = result
    for name in outer:
        inside = inside[name]
    inside[last] = value
    return result


class Start:
    """One process, with a settings file that the test writes."""

    def __init__(self, case):
        folder = tempfile.TemporaryDirectory(prefix="marjorambay-")
        case.addCleanup(folder.cleanup)
        self.folder, self.held = pathlib.Path(folder.name), reserve_ports(4)
        for each in self.held:
            case.addCleanup(each.close)
        self.ports = [each.getsockname()[1] for each in self.held]
        self.settings, self.log = self.folder / "host.ini", self.folder / "log"
        self.process = None
        case.addCleanup(self.kill)

    def text(self, fields=None):
        return render(TEMPLATE, fields or fields_of(self.ports)).replace(
            ":9464", f":{self.ports[3]}")

    def spawn(self, *arguments, **more):
        with open(self.log, "ab") as output:
            self.process = subprocess.Popen(
                [BIN / "marjorambayd",
                 *(arguments or ("--config", self.settings))],
                **{"stdout": output, "stderr": output, **more})
        return self

    def started(self):
        return "event=started " in self.log.read_text()

    def ended_or_started(self):
        """The exit code, or "started"."""
        code = wait_until(lambda: self.started() and "started" or
                          self.process.poll() is not None and "ended", "start")
        return code if code == "started" else self.process.returncode

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class SettingsTest(unittest.TestCase):
    # Guards against a host that doesn't start because a figure of its settings
    # is missing, a fraction, or no figure at all.
    def test_odd_fields_do_not_keep_a_host_from_starting(self):
        names = sorted(set(re.findall(r"\{\{#?([a-z_]+[\w.]*)\}\}", TEMPLATE)))
        essential = {"node_name", "zone", "platform.address",
                     "listen_addresses.frontend", "listen_addresses.readiness"}
        names = [name.removesuffix(".0") for name in names]
        self.assertGreaterEqual(len(names), 20)
        choice, wrong = random.Random(50), []
        for name in names:
            for value in choice.sample(ODD, 3):
                if name in essential and value not in (None, ""):
                    continue
                host = Start(self)
                host.settings.write_text(
                    host.text(changed(fields_of(host.ports), name, value)))
                host.spawn()
                outcome = host.ended_or_started()
                if outcome != (3 if name in essential else "started"):
                    wrong.append((name, value, outcome))
                if name in essential:
                    self.assertIn("event=start_failed", host.log.read_text())
                host.kill()
        self.assertEqual(wrong, [])

    # Guards against a host that reads settings while they are written.
    def test_settings_that_are_incomplete_are_awaited(self):
        choice = random.Random(51)
        whole = len(Start(self).text())
        for size in [None, 0, *sorted(choice.sample(range(whole - 1), 6))]:
            host = Start(self)
            text = host.text()
            if size is not None:
                host.settings.write_text(text[:size])
            host.spawn()
            time.sleep(HELD_S)
            self.assertIsNone(host.process.poll(), f"cut at {size}")
            self.assertFalse(host.started(), f"cut at {size}")
            host.settings.write_text(text)
            self.assertEqual(host.ended_or_started(), "started",
                             f"cut at {size}")
            host.kill()

    def test_settings_that_stay_away_are_a_clear_error(self):
        host = Start(self).spawn()
        self.assertEqual(host.process.wait(20), 3)
        self.assertIn("cannot be read", host.log.read_text())

    def test_the_environment_names_settings_that_the_command_does_not(self):
        host = Start(self)
        host.settings.write_text(host.text())
        environment = {**os.environ, "MARJORAMBAY_SETTINGS": str(host.settings)}
        for arguments in (("--log.level", "info"),
                          ("--config", host.folder / "elsewhere")):
            host.log.write_text("")
            host.spawn(*arguments, env=environment)
            self.assertEqual(host.ended_or_started(), "started")
            host.kill()


class PortTest(unittest.TestCase):
    def taken(self, host, index, kind):
        blocker = socket.socket(socket.AF_INET, kind)
        self.addCleanup(blocker.close)
        host.held[index].close()
        blocker.bind(("127.0.0.1", host.ports[index]))
        if kind == socket.SOCK_STREAM:
            blocker.listen()
        host.settings.write_text(host.text())
        host.spawn()
        return blocker

    # Guards against a host that ends because the process before it still has a
    # port.
    def test_a_port_that_is_taken_for_a_moment_is_awaited(self):
        for index, kind in ((0, socket.SOCK_STREAM), (1, socket.SOCK_STREAM),
                            (2, socket.SOCK_STREAM), (2, socket.SOCK_DGRAM)):
            host = Start(self)
            blocker = self.taken(host, index, kind)
            time.sleep(HELD_S)
            self.assertIsNone(host.process.poll(), f"port {index}, {kind}")
            self.assertFalse(host.started())
            blocker.close()
            self.assertEqual(host.ended_or_started(), "started")
            self.assertRegex(host.log.read_text(),
                             rf"address_awaited .*:{host.ports[index]}: Address")
            host.kill()

    def test_a_port_that_stays_taken_is_a_clear_error(self):
        host = Start(self)
        self.taken(host, 1, socket.SOCK_STREAM)
        self.assertEqual(host.process.wait(30), 5)
        self.assertRegex(host.log.read_text(),
                         rf"start_failed .*probes: .*:{host.ports[1]}: Address")

    def test_a_host_serves_without_its_operators_port(self):
        host = Start(self)
        blocker = self.taken(host, 3, socket.SOCK_STREAM)
        self.assertEqual(host.ended_or_started(), "started")
        blocker.close()
        wait_until(lambda: get(host.ports[3], "/metrics").status == 200,
                   "metrics")


class SignalTest(unittest.TestCase):
    # Guards against a signal that ends a process before its loop handles it.
    def test_only_a_stop_ends_a_process_that_waits(self):
        for stop in (signal.SIGTERM, signal.SIGINT, signal.SIGQUIT):
            host = Start(self).spawn()
            wait_until(lambda: "settings_awaited" in host.log.read_text(),
                       "wait")
            for number in (signal.SIGHUP, signal.SIGUSR1, signal.SIGUSR2,
                           signal.SIGALRM, signal.SIGPIPE):
                host.process.send_signal(number)
            time.sleep(0.2)
            self.assertIsNone(host.process.poll())
            host.process.send_signal(stop)
            self.assertEqual(host.process.wait(5), 0)

    def test_only_a_stop_ends_a_host_that_serves(self):
        host = Start(self)
        host.settings.write_text(host.text())
        host.spawn()
        self.assertEqual(host.ended_or_started(), "started")
        for number in (signal.SIGHUP, signal.SIGUSR1, signal.SIGUSR2,
                       signal.SIGALRM, signal.SIGPIPE):
            host.process.send_signal(number)
        time.sleep(0.5)
        self.assertIsNone(host.process.poll())
        host.process.send_signal(signal.SIGQUIT)
        self.assertEqual(host.process.wait(20), 0)
        self.assertIn("event=drain_started", host.log.read_text())


class SurroundingsTest(unittest.TestCase):
    # Guards against log lines that are written into a connection.
    def test_closed_standard_descriptors_are_not_given_to_sockets(self):
        host = Start(self)
        host.settings.write_text(host.text())
        host.spawn(stdin=None, stdout=None, stderr=None,
                   preexec_fn=lambda: [os.close(each) for each in (0, 1, 2)])
        wait_until(lambda: get(host.ports[3], "/metrics").status == 200,
                   "start")
        for each in (0, 1, 2):
            target = os.readlink(f"/proc/{host.process.pid}/fd/{each}")
            self.assertEqual(target, "/dev/null")

    # Guards against a host that ends once its log has reached the limit of the
    # size of files.
    def test_a_log_at_the_limit_of_its_size_does_not_end_a_host(self):
        host = Start(self)
        host.settings.write_text(host.text())
        host.spawn(preexec_fn=lambda: resource.setrlimit(
            resource.RLIMIT_FSIZE, (100, 100)))
        wait_until(lambda: get(host.ports[3], "/metrics").status == 200,
                   "start")
        host.process.send_signal(signal.SIGHUP)  # is logged
        time.sleep(0.5)
        self.assertIsNone(host.process.poll())

    def test_a_low_soft_limit_of_descriptors_is_raised(self):
        host = Start(self)
        host.settings.write_text(host.text())
        _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        host.spawn(preexec_fn=lambda: resource.setrlimit(
            resource.RLIMIT_NOFILE, (64, hard)))
        self.assertEqual(host.ended_or_started(), "started")
        soft, _ = resource.prlimit(host.process.pid, resource.RLIMIT_NOFILE)
        self.assertEqual(soft, min(4100, hard))

    def test_a_host_starts_with_an_empty_environment(self):
        host = Start(self)
        host.settings.write_text(host.text())
        host.spawn(env={"LANG": "xx_YY.UTF-8"}, cwd="/")
        self.assertEqual(host.ended_or_started(), "started")


if __name__ == "__main__":
    unittest.main()
