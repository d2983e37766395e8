"""What the scripts of review/6 to review/10 share: daemons started with the
command of the deploy file, on loopback, before the project's stand-ins of the
users' store and workers."""
import asyncio
import itertools
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT / "tests/standins"), str(ROOT / "tests/soak"),
                str(ROOT / "tests/system")]
from proxy import Proxy  # noqa: E402
from users_platform import Loop, Store, Worker, reset  # noqa: E402
from platform_fleet import render  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST, KEY = "shop.example", "key-of-one"
BOUNDS = {  # of the sheet of himal-pricehub
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_timeout_ms": 3000,
    "ack_timeout_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
    "grace_period_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
    "downgrade_slack_ms": 250, "partition_max_ms": 5000,
    "strict_revocation": False, "revoke_ms": 5000, "retry_budget_ratio": 0.2,
    "retry_window_s": 10, "retry_min_extra": 56, "quota_window_s": 8,
    "quota_overrun": 0.1, "quota_slack": 72000, "canary_share": 0.1,
    "canary_slack": 50, "rollback_ms": 5000, "recovery_s": 12,
    "iteration_ms": 120, "retry_after_s": 6.9}


class Record:
    """`part`: a name before each line, of a script that writes into the record
    of another one."""

    def __init__(self, folder, part=""):
        if not part:
            (folder / "record.txt").write_text("")
        self.file = open(folder / "record.txt", "a")
        self.part = part
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def note(self, text, at=None):
        at = (at if at is not None else time.monotonic()) - self.began
        with self.lock:
            self.file.write(f"{self.part}{at:9.3f} s  {text}\n")
            self.file.flush()


LOWEST, RANGE = 12000, 20000
# Scripts that run at the same time begin at different ports.
next_port = itertools.count(os.getpid() * 200)


def free_ports(count):
    """Ports that are free for both kinds of sockets, all of five digits. They lie
    below those that systems give to connections, so that none is taken by
    another's connection before it is used."""
    found = []
    while len(found) < count:
        port = LOWEST + next(next_port) % RANGE
        try:
            with socket.socket() as tcp, socket.socket(
                    socket.AF_INET, socket.SOCK_DGRAM) as udp:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
        except OSError:
            continue
        found.append(port)
    return found


class Daemon:
    def __init__(self, folder, name, zone, store_address, record, peer=None):
        self.folder, self.name, self.zone = folder, name, zone
        self.record = record
        self.caller, self.ready_port, self.peer, metrics = free_ports(4)
        self.peer = peer or self.peer
        fields = {
            "node_name": name, "zone": zone, "region": "bagmati",
            "ip_address": "127.0.0.1", "internal_port_range": [self.peer],
            "listen_addresses": {"frontend": f"127.0.0.1:{self.caller}",
                                 "readiness": f"127.0.0.1:{self.ready_port}"},
            "platform": {"address": store_address},
            "limits": {"cpu_quota": 0.25, "cpu_cores": 1, "memory_mb": 110,
                       "max_open_files": 4100, "link_mbps": 1000},
            "bounds": BOUNDS,
            "zones": {each: "bagmati" for each in
                      ("kirtipur", "lalitpur", "bhaktapur", "thimi")}}
        text = render((ROOT / "deploy/settings.ini").read_text(), fields)
        self.settings = folder / f"{name}.ini"
        self.settings.write_text(text.replace(":9464", f":{metrics}"))
        self.log = folder / f"{name}.log"
        self.start()

    def start(self):
        with open(self.log, "ab") as output:
            self.process = subprocess.Popen(
                ["target/bin/marjorambayd", "--config", str(self.settings)],
                cwd=ROOT, stdout=output, stderr=output)
        self.record.note(f"{self.name} started")

    def lines(self, event):
        return [line for line in self.log.read_text(errors="replace").splitlines()
                if f"event={event} " in line + " "]

    def ready(self):
        try:
            with socket.create_connection(("127.0.0.1", self.ready_port), 1) as to:
                to.settimeout(1)
                to.sendall(b"GET /marjorambay/readyz HTTP/1.1\r\nHost: x\r\n"
                           b"Connection: close\r\n\r\n")
                return to.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def wait_until(check, what, seconds=15):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if check():
            return
        time.sleep(0.05)
    raise RuntimeError(f"not within {seconds} s: {what}")


def cannot_run(reason):
    print(f"could not run: {reason}")
    sys.exit(2)


# A script that is told to end, or whose terminal is closed, ends its daemons.
for each_signal in (signal.SIGTERM, signal.SIGHUP):
    signal.signal(each_signal, lambda *_: cannot_run("told to end"))
