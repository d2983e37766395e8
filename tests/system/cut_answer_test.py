"""Workers that stop in the middle of their answer and close the connection."""
import concurrent.futures
import itertools
import unittest

from platform_fleet import PlatformFleet, dump


class CutAnswerTest(unittest.TestCase):
    """The worker stops after as many bytes of its answer as the caller names."""

    def setUp(self):
        self.fleet = PlatformFleet(hosts=2, workers=2)
        self.addCleanup(self.fleet.close)
        for worker in self.fleet.workers.values():
            worker.trouble = self.trouble_of

    @staticmethod
    def trouble_of(run):
        sizes = run["headers"].get("x-stop-after", "").split(",")
        return f"stop:{sizes[0]}" if sizes[0] else None

    def call(self, path, size):
        """Sends a request until a worker has it; some may be left out."""
        for host in itertools.islice(itertools.cycle((0, 1)), 20):
            answer = self.fleet.call(path, host=host,
                                     headers={"X-Stop-After": str(size)})
            if self.fleet.runs(answer.attempt):
                return answer
            self.fleet.call(path, host=host)  # a sound one, which lets it in
        return self.fail(f"no worker got {path} with {size} bytes")

    # Guards against callers that get a 200 with an empty or short body, framed
    # as complete, after a worker stopped within its answer's head.
    def test_an_answer_that_stops_at_any_byte_is_no_success(self):
        for path in ("/safe/a", "/once/a", "/stream/a", "/streamonce/a"):
            with self.subTest(path=path):
                whole = self.call(path, 10000)
                self.assertEqual(whole.status, 200, dump(whole))
                run = self.fleet.runs(whole.attempt)[0]  # the shortest id
                size = len(self.fleet.workers[run["worker"]].answer_bytes(run))
                with concurrent.futures.ThreadPoolExecutor(4) as pool:
                    answers = list(pool.map(lambda at: self.call(path, at),
                                            range(size)))
                for at, answer in enumerate(answers):
                    incomplete = answer.failure and "IncompleteRead" in answer.failure
                    self.assertTrue(incomplete or answer.status in (502, 504),
                                    f"{at} bytes: {dump(answer)}")


if __name__ == "__main__":
    unittest.main()
