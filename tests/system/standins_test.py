"""The stand-ins alone: each does what the tests of the daemon rely on."""

import unittest
import pathlib
import shutil
import tempfile
import threading
import types

from fleet import Load, StandIn, call, wait_until


class StandInTest(unittest.TestCase):
    def setUp(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="marjorambay-"))
        self.processes = []

    def tearDown(self):
        for process in self.processes:
            process.kill()
        shutil.rmtree(self.folder)

    def start(self, program, **options):
        standin = StandIn(self.folder, program, program, **options)
        self.processes.append(standin)
        return standin

    def load(self, standin, **options):
        owner = types.SimpleNamespace(
            folder=self.folder, add=self.processes.append)
        return Load(owner, to=standin.address, **options)


class PlatformTest(StandInTest):
    def put(self, version, text):
        return call(self.platform.address, "PUT", "/v1/objects/a/b", text,
                    {"If-Version": str(version)})

    def get(self, query=""):
        return call(self.platform.address, "GET", "/v1/objects/a/b" + query)

    def test_objects(self):
        self.platform = self.start("platform_standin")
        self.assertEqual(self.get().status, 404)
        self.assertEqual(self.put(1, "x").status, 409)
        self.assertEqual(self.put(0, "one").headers["object-version"], "1")
        self.assertEqual(self.put(0, "two").headers["object-version"], "1")
        self.assertEqual(self.get().body, b"one")
        self.assertEqual(self.get("?watch=1&wait_ms=50").status, 204)
        answers = []
        watcher = threading.Thread(target=lambda: answers.append(
            self.get("?watch=1&wait_ms=20000")))
        watcher.start()
        wait_until(lambda: self.platform.stats("/calls").get("watch") == 2,
                   "the watch to wait")
        self.put(1, "two")
        watcher.join()
        self.assertEqual(answers[0].body, b"two")
        listed = call(self.platform.address, "GET", "/v1/list?prefix=a/").json
        self.assertEqual(listed["objects"], [{"name": "a/b", "version": 2}])

    def test_faults(self):
        self.platform = self.start("platform_standin")
        self.put(0, "one")
        self.platform.fault("lose_answer", count=1)
        self.assertEqual(self.put(1, "two").status, 0)
        self.assertEqual(self.get().headers["object-version"], "2")
        self.platform.fault("stale")
        self.assertEqual(self.get().body, b"one")
        self.platform.fault("none")
        self.assertEqual(self.get().body, b"two")
        self.platform.fault("down")
        self.assertEqual(self.get().status, 503)
        self.platform.fault("none")
        self.platform.fault("refuse")
        self.assertIn("Refused", self.get().failure)
        self.platform.fault("none")
        self.assertEqual(self.get().body, b"two")


class EngineTest(StandInTest):
    def test_answers_cancels_and_faults(self):
        engine = self.start("engine_standin", speed=500)
        for options in ({}, {"stream": 1},
                        {"kind": "chat", "path": "/v1/chat/completions"},
                        {"kind": "chat", "path": "/v1/chat/completions",
                         "stream": 1}):
            results = self.load(engine, count=20, **options).finish()
            self.assertEqual(results["verdicts"], {"whole": 20}, results)
        left = self.load(engine, count=3, stream=1, leave_after=2,
                         max_tokens=100000).finish()
        self.assertEqual(left["verdicts"], {"left": 3})
        wait_until(lambda: engine.stats()["cancelled"] == 3, "cancels")
        self.assertGreater(engine.stats()["prefill_wasted"], 0)
        engine.fault("break_stream", after=3, count=2)
        cut = self.load(engine, count=5, stream=1).finish()
        self.assertEqual(cut["verdicts"], {"cut": 2, "whole": 3})

    def test_versions_and_fencing(self):
        engine = self.start("engine_standin", version_load_ms=0)
        order = {"order": "load_version", "version": "v2", "fence": 7}
        self.assertEqual(
            call(engine.address, "POST", "/orders", order).status, 202)
        wait_until(lambda: "v2" in engine.stats()["versions"], "v2 to load")
        order["fence"] = 6
        refused = call(engine.address, "POST", "/orders", order)
        self.assertEqual((refused.status, refused.json["fence"]), (409, 7))
        engine.fault("ignore_fencing")
        self.assertEqual(
            call(engine.address, "POST", "/orders", order).status, 202)
        engine.fault("version", version="v2", errors=0.5)
        results = self.load(engine, count=10, version="v2").finish()
        self.assertEqual(results["verdicts"], {"error": 5, "whole": 5})
        absent = self.load(engine, count=1, version="v3", details=1).finish()
        self.assertEqual(absent["results"][0]["status"], 503)


class ServiceTest(StandInTest):
    def test_counts_applications(self):
        service = self.start("service_standin")
        results = self.load(service, count=6, kind="call", path="/orders",
                            key_prefix="k", key_uses=2).finish()
        self.assertEqual(results["verdicts"], {"whole": 6})
        service.fault("lose_answer", count=1)
        lost = self.load(service, count=1, kind="call", path="/orders",
                         key_prefix="l").finish()
        self.assertEqual(lost["verdicts"], {"lost": 1})
        self.assertEqual(service.stats()["keys"],
                         {"k0": 2, "k1": 2, "k2": 2, "l0": 1})


if __name__ == "__main__":
    unittest.main()
