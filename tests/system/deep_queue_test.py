#!/usr/bin/env python3
"""The stack of a host whose queue is long, before a stand-in of the platform."""

import pathlib
import re
import socket
import unittest

from fleet import wait_until
from platform_fleet import HOST, KEY, PlatformFleet, config

QUEUED = 1000
STACK_GROWTH_KB = 64  # one page of 64 KiB


def patient_config():
    """Nothing is shed or replaced while the queue fills."""
    patient = config(3)
    for route in patient["routes"]:
        route.update(timeout_ms=60000, target_latency_ms=60000,
                     target_gap_ms=60000)
    return patient


def stack_kb(host):
    text = pathlib.Path(f"/proc/{host.process.pid}/status").read_text()
    return int(re.search(r"VmStk:\s+(\d+) kB", text).group(1))


def request(number):
    return (f"POST /stream/x HTTP/1.1\r\nHost: {HOST}\r\nX-Api-Key: {KEY}\r\n"
            f"X-Marjorambay-Attempt-Id: queued-{number}\r\n"
            "X-Marjorambay-Deadline-Ms: 60000\r\n"
            "Content-Length: 1\r\n\r\nx").encode()


class DeepQueueTest(unittest.TestCase):
    # Guards against calls that nest once for each queued request: the stack
    # grew by 2 KB with each, until the process would end by a segmentation
    # fault.
    def test_grants_that_are_all_returned_do_not_nest(self):
        fleet = PlatformFleet(hosts=1, workers=1, first=patient_config())
        self.addCleanup(fleet.close)
        host, worker = fleet.hosts[0], fleet.workers["pool-0"]
        worker.events, worker.gap = 20, 0.2
        running = worker.slots
        worker.trouble = (
            lambda run: "hold:5" if len(worker.seen) > running else None)
        before = stack_kb(host)
        for number in range(QUEUED):
            caller = socket.create_connection(("127.0.0.1", host.caller))
            self.addCleanup(caller.close)
            caller.sendall(request(number))
        wait_until(lambda: len(host.lines("request_ended")) >= QUEUED,
                   "the end of all requests")
        self.assertTrue(host.lines("target_holds_off"))
        self.assertIsNone(host.process.poll())
        self.assertLessEqual(stack_kb(host) - before, STACK_GROWTH_KB)


if __name__ == "__main__":
    unittest.main()
