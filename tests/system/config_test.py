#!/usr/bin/env python3
"""Operators at work on real processes: eight hosts in four zones.

One story: look around, change things, race, wait, and change the configuration
while a host is frozen and the platform loses an answer. Every host's revision
only ever rises.
"""

import json
import signal
import subprocess
import sys
import threading
import time

from fleet import BIN, Fleet, call, ctl, wait_until

CTL = BIN / "marjorambayctl"


class RevisionWatch(threading.Thread):
    """Reads every host's revision again and again; notes one that falls."""

    def __init__(self, hosts):
        super().__init__(daemon=True)
        self.hosts = hosts
        self.highest = {}
        self.fallen = []
        self.samples = 0
        self.done = threading.Event()

    def run(self):
        while not self.done.wait(0.02):
            for host in self.hosts:
                answer = call(host.operator, "GET", "/config", timeout_s=0.5)
                if answer.status != 200:
                    continue
                revision = answer.json["revision"]
                if revision < self.highest.get(host.name, 0):
                    self.fallen.append((host.name, revision))
                self.highest[host.name] = revision
                self.samples += 1

    def finish(self):
        self.done.set()
        self.join()
        assert not self.fallen, self.fallen


def check_looking(fleet):
    host = fleet.hosts[0]
    wait_until(lambda: len(ctl(host, "status")["members"]) == 7,
               "one host to know the seven others")
    assert len(ctl(host, "target", "list")) == 1
    assert ctl(host, "config", "wait")["hosts"] == 8
    ctl(host, "inspect")
    subprocess.run([CTL, "check", fleet.folder / f"{host.name}.ini"], check=True,
                   stdout=subprocess.DEVNULL)


def check_mistakes(fleet):
    host = fleet.hosts[0]
    for words, code in [
            (["no-such-verb"], 2),
            (["tier", "add"], 2),
            (["--no-such-option"], 2)]:
        done = subprocess.run([CTL, *words], capture_output=True, text=True)
        assert done.returncode == code and done.stderr, done
    bad = fleet.folder / "bad.json"
    bad.write_text('{"targets": [{"name": "w1", "adress": "x"}]}')
    told = ctl(host, "check", bad, code=3)["error"]
    assert "targets[0].adress: unknown key" in told["message"], told
    told = ctl(host, "exception", "add", "zone", "zone-1",
               "target_fill_seconds", "4", code=3)["error"]
    assert "reason" in told["message"], told
    told = ctl(host, "target", "drain", "no-such-target", code=3)["error"]
    assert told["kind"] == "not_found", told
    nobody = subprocess.run([CTL, "--host", "127.0.0.1:1", "status"],
                            capture_output=True, text=True)
    assert nobody.returncode == 5, nobody


def check_editing(fleet):
    host, far = fleet.hosts[0], fleet.hosts[7]
    key = fleet.folder / "key"
    key.write_text("tally-key\n")
    ctl(host, "--wait", "account", "add", "tally", "--tier", "interactive",
        "--key-file", key)
    assert "tally" in [row["name"] for row in ctl(far, "account", "list")]
    ctl(far, "--wait", "exception", "add", "zone", "zone-1",
        "target_fill_seconds", "4", "--reason", "old engines")
    values = ctl(host, "config", "effective", "zone", "zone-1")
    row = next(row for row in values if row["key"] == "target_fill_seconds")
    assert row["value"] == "4" and row["source"] == "zone zone-1", row
    assert (row["reason"], row["author"]) == ("old engines", "anna"), row
    ctl(host, "exception", "remove", "zone", "zone-1", "target_fill_seconds")
    ctl(host, "target", "drain", fleet.services[0].name)
    ctl(host, "--wait", "target", "undrain", fleet.services[0].name)
    ctl(host, "tier", "add", "committee", "3")
    ctl(host, "--wait", "tier", "remove", "committee")


def check_race(fleet):
    """Two operators read the same revision; the second is told what differs."""
    first, second = fleet.hosts[1], fleet.hosts[6]
    mine = fleet.folder / "mine.json"
    document = ctl(first, "config", "get")
    document["defaults"]["target_fill_seconds"] = 3.0
    mine.write_text(json.dumps(document))
    ctl(second, "--wait", "exception", "add", "host", second.name,
        "default_output_tokens", "99", "--reason", "small machine")
    told = ctl(first, "config", "set", mine, code=4)["error"]
    assert told["kind"] == "conflict", told
    assert "default_output_tokens" in told["message"], told
    assert ctl(first, "config", "diff", mine)["differs"]


def check_frozen_host_and_lost_answer(fleet):
    """The platform loses an answer while a host is frozen."""
    asked, frozen = fleet.hosts[2], fleet.hosts[5]
    frozen.send(signal.SIGSTOP)
    fleet.platform.fault("lose_answer", count=1)
    accepted = ctl(asked, "exception", "add", "zone", "zone-2",
                   "request_deadline_ms", "45000", "--reason", "slow line")
    others = [host for host in fleet.hosts if host is not frozen]
    for host in others:
        wait_until(lambda: host.revision() >= accepted["revision"],
                   f"{host.name} to have the revision")
    frozen.send(signal.SIGCONT)
    begin = time.monotonic()
    wait_until(lambda: frozen.revision() >= accepted["revision"],
               "the thawed host to have the revision")
    print(f"thawed host agreed after {time.monotonic() - begin:.2f} s")
    assert ctl(asked, "config", "wait", accepted["revision"])["hosts"] == 8


def check_outage(fleet):
    """Platform down: changes are refused, and a fresh host gets its peers'."""
    host = fleet.hosts[3]
    revision = host.revision()
    fleet.platform.fault("down", on=True)
    told = ctl(fleet.hosts[0], "tier", "add", "late", "4", code=5)["error"]
    assert told["kind"] == "platform_unavailable", told
    host.kill()
    fresh = fleet.restart(host)
    wait_until(fresh.ready, "a fresh host to be ready in an outage")
    assert fresh.revision() == revision
    fleet.platform.fault("down", on=False)
    wait_until(lambda: subprocess.run(
        [CTL, "--host", fresh.operator, "tier", "add", "late", "4"],
        capture_output=True).returncode == 0, "changes to be accepted again")
    ctl(fresh, "config", "wait")


def main():
    with Fleet(zones=4, hosts=2, engine_speeds=(), services=1) as fleet:
        watch = RevisionWatch(list(fleet.hosts))
        watch.start()
        for check in (check_looking, check_mistakes, check_editing, check_race,
                      check_frozen_host_and_lost_answer):
            check(fleet)
            print("passed:", check.__name__)
        watch.finish()
        print("revisions read:", watch.samples, "fallen:", len(watch.fallen))
        check_outage(fleet)
        print("passed: check_outage")


if __name__ == "__main__":
    sys.exit(main())
