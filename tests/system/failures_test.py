"""Real processes die, freeze, stop and lose their platform under load.

Each test checks what callers were told against what the targets counted: a
request runs at most once, and a key is applied at most once.
"""

import signal
import unittest

from fleet import Fleet, call, wait_until

FAST_MEMBERSHIP = {"peer": {"heartbeat_interval_ms": 200},
                   "target": {"load_poll_interval_ms": 200}}


def in_flight(fleet):
    return sum(engine.stats()["in_flight"] for engine in fleet.engines)


def once_headers(key, account="gold"):
    return {"Authorization": f"Bearer {account}-key", "Idempotency-Key": key,
            "Deadline-Ms": "10000"}


class FleetTest(unittest.TestCase):
    def fleet(self, **options):
        settings = {**FAST_MEMBERSHIP, **options.pop("settings", {})}
        fleet = Fleet(settings=settings, **options)
        self.addCleanup(fleet.close)
        return fleet

    def assert_run_once(self, fleet):
        """No request ran at two targets or twice; no key was applied twice."""
        runs, keys = {}, {}
        for target in fleet.engines + fleet.services:
            stats = target.stats()
            for request, count in stats["requests"].items():
                runs[request] = runs.get(request, 0) + count
            for key, count in stats.get("keys", {}).items():
                keys[key] = keys.get(key, 0) + count
        self.assertEqual({r: c for r, c in runs.items() if c != 1}, {})
        self.assertEqual({k: c for k, c in keys.items() if c != 1}, {})
        return runs, keys

    def assert_not_run_is_true(self, results, runs, keys=None):
        """What was told as not run was not run, and nothing was wrong."""
        for result in results["results"]:
            self.assertNotEqual(result["verdict"], "wrong", result)
            if not result["may_have_run"]:
                self.assertNotIn(result["request_id"], runs, result)
            if result["key"] and result["verdict"] in ("whole", "replayed"):
                self.assertIn(result["key"], keys, result)

    def stop_hosts(self, fleet):
        for host in fleet.hosts:
            self.assertEqual(host.stop(), 0, host.log.read_text()[-2000:])


class StopTest(FleetTest):
    def test_graceful_stop_cuts_no_stream(self):
        fleet = self.fleet(zones=1, hosts=2, engine_speeds=(50, 50))
        load = fleet.load(hosts=fleet.hosts[:1], count=30, stream=1,
                          max_tokens=100, details=1, deadline_ms=60000)
        wait_until(lambda: in_flight(fleet) == 30, "30 streams to run")
        code = fleet.hosts[0].stop()
        results = load.finish()
        self.assertEqual(results["verdicts"], {"whole": 30}, results)
        self.assertEqual(code, 0)
        self.assert_run_once(fleet)

    def test_stream_outlives_the_idle_timeout(self):
        fleet = self.fleet(zones=1, hosts=1, engine_speeds=(20,), settings={
            "caller": {"idle_timeout_ms": 500}})
        for stream in (0, 1):
            results = fleet.load(count=2, stream=stream, max_tokens=40,
                                 details=1).finish()
            self.assertEqual(results["verdicts"], {"whole": 2}, results)

    def test_callers_that_leave_free_their_slots(self):
        fleet = self.fleet(zones=1, hosts=2, engine_speeds=(200,))
        left = fleet.load(count=40, stream=1, leave_after=2,
                          max_tokens=100000).finish()
        self.assertEqual(left["verdicts"], {"left": 40})
        wait_until(lambda: in_flight(fleet) == 0, "the engine to be idle")
        whole = fleet.load(count=40, stream=1).finish()
        self.assertEqual(whole["verdicts"], {"whole": 40}, whole)


class DeathTest(FleetTest):
    def test_arbiter_is_killed_while_requests_wait(self):
        fleet = self.fleet(zones=1, hosts=3, engine_speeds=(100,),
                           max_requests_in_flight=8)
        arbiter = self.arbiter_of(fleet)
        others = [host for host in fleet.hosts if host is not arbiter]
        load = fleet.load(hosts=others, count=60, stream=1, max_tokens=50,
                          details=1, deadline_ms=60000)
        wait_until(lambda: in_flight(fleet) >= 4, "streams to run")
        arbiter.kill()
        results = load.finish()
        self.assertEqual(results["verdicts"], {"whole": 60}, results)
        self.assert_run_once(fleet)

    def arbiter_of(self, fleet):
        """The host whose queue holds the requests of all hosts."""
        def find():
            return [host for host in fleet.hosts for held
                    in host.inspect()["arbiters"]
                    if held["pool"] == "models" and sum(held["queued"]) > 0]
        probe = fleet.load(count=60, max_tokens=20, deadline_ms=60000)
        arbiter = wait_until(lambda: len(find()) == 1 and find()[0],
                             "one arbiter to queue requests")
        self.assertEqual(probe.finish()["verdicts"], {"whole": 60})
        return arbiter

    def test_frozen_host_wakes_after_its_lease(self):
        fleet = self.fleet()
        frozen, others = fleet.hosts[0], fleet.hosts[1:]
        options = {"kind": "call", "path": "/orders", "key_prefix": "f-",
                   "details": 1}
        first = fleet.load(hosts=[frozen], count=200, rate=200, **options)
        wait_until(lambda: fleet.services[0].stats()["keys"], "first orders")
        frozen.send(signal.SIGSTOP)
        # The same keys at the other hosts, which come to take over.
        second = fleet.load(hosts=others, count=200, rate=100, **options,
                            deadline_ms=8000).finish()
        frozen.send(signal.SIGCONT)
        results = first.finish()
        runs, keys = self.assert_run_once(fleet)
        self.assert_not_run_is_true(results, runs, keys)
        self.assert_not_run_is_true(second, runs, keys)
        wait_until(lambda: self.order(fleet, frozen, "f-again"),
                   "the thawed host to serve orders")
        self.stop_hosts(fleet)

    def test_host_dies_with_orders_on_it(self):
        fleet = self.fleet(hosts=3)
        dying, others = fleet.hosts[0], fleet.hosts[1:]
        fleet.services[0].fault("slow", ms=100)
        options = {"kind": "call", "path": "/orders", "key_prefix": "d-",
                   "count": 100, "details": 1, "deadline_ms": 20000}
        first = fleet.load(hosts=[dying], rate=200, **options)
        wait_until(lambda: fleet.services[0].stats()["keys"], "first orders")
        dying.kill()
        first.finish()
        second = fleet.load(hosts=others, rate=100, **options).finish()
        runs, keys = self.assert_run_once(fleet)
        self.assert_not_run_is_true(second, runs, keys)
        self.assertGreater(second["verdicts"].get("whole", 0), 0, second)

    def test_arbiter_stops_while_requests_wait(self):
        fleet = self.fleet(zones=1, hosts=3, engine_speeds=(100,),
                           max_requests_in_flight=8)
        arbiter = self.arbiter_of(fleet)
        load = fleet.load(count=60, stream=1, max_tokens=50, details=1,
                          hosts=[h for h in fleet.hosts if h is not arbiter],
                          deadline_ms=60000)
        wait_until(lambda: in_flight(fleet) >= 4, "streams to run")
        self.assertEqual(arbiter.stop(), 0)
        results = load.finish()
        self.assertEqual(results["verdicts"], {"whole": 60}, results)
        self.assert_run_once(fleet)

    def test_every_zone_turns_away_from_a_lost_host(self):
        for loss in (signal.SIGSTOP, signal.SIGKILL):
            with self.subTest(loss.name):
                fleet = self.fleet()
                # It decides for the only service, which all zones call.
                lost, others = fleet.hosts[0], fleet.hosts[1:]
                self.assertEqual(lost.zone, fleet.services[0].zone)
                lost.send(loss)
                for host in others:
                    wait_until(lambda host=host: call(
                        host.address, "POST", "/sheets/today", {"rows": 1},
                        {"Authorization": "Bearer gold-key",
                         "Deadline-Ms": "500"}).status == 200,
                        f"{host.name} to be served", 10)

    def order(self, fleet, host, key):
        return call(host.address, "POST", "/orders", {"marker": key},
                    once_headers(key)).status == 200


class PlatformTest(FleetTest):
    def test_platform_goes_and_comes_back(self):
        fleet = self.fleet()
        options = {"kind": "call", "path": "/orders", "key_prefix": "p-",
                   "count": 20, "details": 1, "deadline_ms": 5000}
        fleet.platform.fault("refuse")
        models = fleet.load(count=40, stream=1).finish()
        self.assertEqual(models["verdicts"], {"whole": 40}, models)
        refused = fleet.load(**options).finish()
        self.assertEqual(refused["errors"], {"platform_unavailable": 20},
                         refused)
        runs, keys = self.assert_run_once(fleet)
        self.assert_not_run_is_true(refused, runs, keys)
        self.assertEqual(keys, {})
        fleet.platform.fault("none")
        wait_until(lambda: call(
            fleet.hosts[0].address, "POST", "/orders", {"marker": "back"},
            once_headers("back")).status == 200, "orders to be served again")
        again = fleet.load(**options).finish()
        self.assertEqual(again["verdicts"], {"whole": 20}, again)
        self.assert_run_once(fleet)
        self.stop_hosts(fleet)

    def test_platform_loses_answers(self):
        fleet = self.fleet()
        fleet.platform.fault("lose_answer", count=5)
        results = fleet.load(count=60, rate=100, kind="call", path="/orders",
                             key_prefix="l-", key_uses=2, details=1,
                             deadline_ms=10000).finish()
        runs, keys = self.assert_run_once(fleet)
        self.assert_not_run_is_true(results, runs, keys)
        self.assertEqual(len(keys), 30, results["errors"])


class TargetTest(FleetTest):
    def test_target_breaks_streams(self):
        fleet = self.fleet(zones=1, engine_speeds=(200, 200))
        fleet.engines[0].fault("break_stream", after=3, count=12)
        results = fleet.load(count=60, rate=60, stream=1, details=1).finish()
        runs, keys = self.assert_run_once(fleet)
        self.assert_not_run_is_true(results, runs, keys)
        # The engine is left out after three, and one or two on their way.
        broken = results["counts"]["target engine-zone-1-1"]
        self.assertIn(broken, [{"error": 3}, {"error": 4}, {"error": 5}])
        self.assertEqual(results["verdicts"], {"error": broken["error"],
                                               "whole": 60 - broken["error"]},
                         results)
        self.assertEqual(results["errors"], {"answer_cut": broken["error"]})
        self.assertEqual(len(runs), 60)

    def test_service_loses_answers_and_keys_come_again(self):
        fleet = self.fleet()
        fleet.services[0].fault("lose_answer", count=4)
        results = fleet.load(count=40, concurrency=4, kind="call", details=1,
                             path="/orders", key_prefix="s-", key_uses=2,
                             deadline_ms=10000).finish()
        runs, keys = self.assert_run_once(fleet)
        self.assert_not_run_is_true(results, runs, keys)
        self.assertEqual(len(keys), 20)

    def test_leaving_target_gets_no_new_work(self):
        fleet = self.fleet(zones=1, engine_speeds=(200, 200))
        leaving = fleet.engines[0]
        leaving.fault("leaving")
        results = fleet.load(count=60, rate=60, stream=1, details=1,
                             deadline_ms=10000).finish()
        self.assertEqual(results["verdicts"], {"whole": 60}, results)

        def is_left_alone():
            before = leaving.stats()["declined"]
            fleet.load(count=20, concurrency=4, max_tokens=2).finish()
            return leaving.stats()["declined"] == before
        wait_until(is_left_alone, "no call to reach the leaving engine", 3)
        self.assert_run_once(fleet)

    def test_refused_connections_are_tried_elsewhere(self):
        fleet = self.fleet(zones=1, engine_speeds=(200, 200))
        fleet.engines[0].fault("refuse")
        results = fleet.load(count=20, rate=20, stream=1, details=1,
                             deadline_ms=10000).finish()
        self.assertEqual(results["verdicts"], {"whole": 20}, results)
        self.assert_run_once(fleet)


class IdempotencyTest(FleetTest):
    def test_same_key_at_two_hosts_of_two_zones_at_once(self):
        fleet = self.fleet()
        pair = [fleet.hosts[0], fleet.hosts[-1]]
        self.assertNotEqual(pair[0].zone, pair[1].zone)
        results = fleet.load(hosts=pair, count=100, kind="call", details=1,
                             path="/orders", key_prefix="t-", key_uses=2,
                             deadline_ms=20000).finish()
        runs, keys = self.assert_run_once(fleet)
        self.assert_not_run_is_true(results, runs, keys)
        self.assertEqual(len(keys), 50, results["errors"])
        statuses = {}
        for result in results["results"]:
            statuses.setdefault(result["key"], []).append(result["status"])
        unanswered = {k: s for k, s in statuses.items() if 200 not in s}
        self.assertEqual(unanswered, {})

    def test_outcome_is_known_in_the_other_zone(self):
        fleet = self.fleet()
        first = call(fleet.hosts[0].address, "POST", "/orders", {"boxes": 1},
                     once_headers("known"))
        self.assertEqual(first.status, 200)
        for host in fleet.hosts:
            wait_until(lambda host=host: call(
                host.address, "POST", "/orders", {"boxes": 1},
                once_headers("known")).json == {"replayed": True},
                f"{host.name} to know the outcome", 5)
        self.assert_run_once(fleet)

    def test_key_with_another_body_is_refused(self):
        fleet = self.fleet(zones=1)
        first, second = (call(host.address, "POST", "/orders", {"boxes": n},
                              once_headers("same"))
                         for n, host in enumerate(fleet.hosts))
        self.assertEqual((first.status, second.error.get("kind")),
                         (200, "idempotency_key_reused"))
        self.assertFalse(second.error["may_have_run"])


if __name__ == "__main__":
    unittest.main()
