"""Workers whose answers are malformed, and what callers get of them."""
import itertools
import unittest

from platform_fleet import PlatformFleet, dump

PATHS = ("/safe/a", "/once/a", "/stream/a", "/streamonce/a")


def identity(run):
    """Headers that name the request and its worker."""
    return (f"X-Marjorambay-Attempt-Id: {run['id']}\r\n"
            f"X-Marjorambay-Server-Signature: sign-{run['worker']}\r\n").encode()


def body_of(run):
    """A framing header, the end of the head, and a body."""
    if run["target"].startswith("/stream"):
        return (b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                b"\r\n11\r\nid: 1\ndata: one\n\n\r\n0\r\n\r\n")
    return b"Content-Length: 9\r\n\r\nmalformed"


class BrokenAnswerTest(unittest.TestCase):
    """Each request meets one malformed answer; workers are sound otherwise."""

    def setUp(self):
        self.fleet = PlatformFleet(hosts=1, workers=2)
        self.addCleanup(self.fleet.close)

    def break_answers(self, answer):
        """Sends answer(run) to the first run of a request that asks for it."""
        for worker in self.fleet.workers.values():
            worker.trouble = lambda run: (
                answer(run) if "x-break" in run["headers"]
                and len(self.fleet.runs(run["id"])) == 0 else None)

    def call(self, path):
        """Sends a request until a worker has broken its answer."""
        for _ in range(20):
            answer = self.fleet.call(path, headers={"X-Break": "1"})
            if self.fleet.runs(answer.attempt):
                return answer
            self.fleet.call(path)  # a sound one, which lets the worker in
        return self.fail(f"no worker got {path}")

    def assert_nothing_passed_on(self, what, answer):
        """Safe requests are served by another worker, others fail."""
        self.break_answers(answer)
        for path in PATHS:
            with self.subTest(what=what, path=path):
                got = self.call(path)
                repeats = path in ("/safe/a", "/stream/a")
                runs = len(self.fleet.runs(got.attempt))
                self.assertEqual(got.status, 200 if repeats else 502, dump(got))
                self.assertEqual(runs, 2 if repeats else 1, dump(got))
                self.assertNotIn(b"malformed", got.body)

    # Guards against a status that is none and that reaches callers.
    def test_an_answer_without_a_valid_status_is_not_passed_on(self):
        for status in (b"000", b"0", b"001", b"42", b"099", b"600", b"999",
                       b"0200", b"1000", b"101"):
            self.assert_nothing_passed_on(status, lambda run: (
                b"HTTP/1.1 " + status + b" X\r\n" + identity(run) + body_of(run)))

    # Guards against a head that ends at a control byte: callers get a body that
    # is not the worker's, or an answer without one of its headers.
    def test_a_head_with_control_bytes_is_not_passed_on(self):
        for line in (b"\rX-More: 1", b"X-\rMore: 1", b"\x01X-More: 1",
                     b"X-More\x00: 1", b"X-More\t: 1", b"X-More: \x01"):
            self.assert_nothing_passed_on(line, lambda run: (
                b"HTTP/1.1 200 X\r\n" + identity(run) + line + b"\r\n"
                + body_of(run)))
        self.assert_nothing_passed_on("reason", lambda run: (
            b"HTTP/1.1 200 X\rY\r\n" + identity(run) + body_of(run)))

    # Guards against a name that holds a blank.
    def test_a_head_with_a_blank_in_a_name_is_not_passed_on(self):
        for line in (b"X More: 1", b"X-More : 1", b"Content-Length : 9",
                     b" X-More: 1", b"\tX-More: 1"):
            self.assert_nothing_passed_on(line, lambda run: (
                b"HTTP/1.1 200 X\r\n" + identity(run) + line + b"\r\n"
                + body_of(run)))

    # Guards against the body of an interim answer before that of the answer.
    def test_an_interim_answer_with_a_body_is_not_passed_on(self):
        for status in (b"100", b"102", b"150"):
            self.assert_nothing_passed_on(status, lambda run: (
                b"HTTP/1.1 " + status + b" X\r\nContent-Length: 9\r\n\r\nmalformed"
                b"HTTP/1.1 200 X\r\n" + identity(run) + body_of(run)))

    # Guards against bytes of a body that callers take for their next answer.
    def test_an_answer_that_has_no_body_is_passed_on_without_one(self):
        for status in (204, 304):
            self.break_answers(lambda run: (
                b"HTTP/1.1 %d X\r\n" % status + identity(run)
                + b"Content-Length: 9\r\n\r\nmalformed"))
            for path in ("/safe/a", "/once/a"):
                got = self.call(path)
                self.assertEqual(got.status, status, dump(got))
                self.assertNotEqual(got.headers.get("Content-Length"), "9")


if __name__ == "__main__":
    unittest.main()
