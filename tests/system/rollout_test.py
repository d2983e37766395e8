#!/usr/bin/env python3
"""Rollouts on real processes: a bad version is taken back, an operator aborts."""

import unittest

from fleet import Fleet, ctl, wait_until

TAKEN_BACK = 7


class RolloutTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(zones=2, hosts=2, engine_speeds=(2000, 2000),
                           services=0)
        self.addCleanup(self.fleet.close)

    def start(self, version):
        ctl(self.fleet.hosts[0], "rollout", "start", "models", version,
            "--within", "600")

    def phase(self, host):
        return ctl(host, "rollout", "status", "models")["phase"]

    def wait_for(self, host, phase):
        wait_until(lambda: self.phase(host) == phase, f"phase {phase}", 60)

    def to_new_version(self, version):
        return sum(engine.stats()["by_version"].get(version, 0)
                   for engine in self.fleet.engines)

    def test_bad_version_is_taken_back(self):
        for engine in self.fleet.engines:
            engine.fault("version", version="bad", errors=1.0)
        self.start("bad")
        self.wait_for(self.fleet.hosts[1], "canary")

        load = self.fleet.load(count=12000, rate=300, max_tokens=4)
        self.wait_for(self.fleet.hosts[2], "taken_back")
        served = self.to_new_version("bad")
        results = load.finish()

        answered = sum(results["verdicts"].values())
        self.assertEqual(answered, 12000, results)
        self.assertLessEqual(served, 12000 // 100, "more than the canary's cap")
        self.assertEqual(self.to_new_version("bad"), served,
                         "it was sent requests after it was taken back")
        ctl(self.fleet.hosts[3], "rollout", "wait", "models", code=TAKEN_BACK)

    def test_operator_pauses_and_aborts(self):
        self.start("v2")
        self.wait_for(self.fleet.hosts[3], "canary")
        ctl(self.fleet.hosts[1], "rollout", "pause", "models")
        status = ctl(self.fleet.hosts[2], "rollout", "status", "models")
        self.assertTrue(status["paused"])
        ctl(self.fleet.hosts[2], "rollout", "abort", "models")
        self.assertEqual(self.phase(self.fleet.hosts[0]), "taken_back")


if __name__ == "__main__":
    unittest.main(verbosity=2)
