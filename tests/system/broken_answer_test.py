"""Workers whose answers are malformed, and what callers get of them."""
import asyncio
import concurrent.futures
import itertools
import json
import pathlib
import re
import time
import unittest

from platform_fleet import Loop, PlatformFleet, config, dump
from users_platform import Server, reset, send_endlessly

from fleet import Fleet, call, wait_until

EVENT = b'data: {"choices": [{"text": "one"}]}\n\n'
COMPLETION = json.dumps({"model": "small", "prompt": "one", "max_tokens": 8,
                         "stream": True})
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
FILLER = b"x" * 16384
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

    def call(self, path, headers=None, body=b"payload"):
        """Sends a request until a worker has broken its answer."""
        for _ in range(20):
            answer = self.fleet.call(path, body=body,
                                     headers=headers or {"X-Break": "1"})
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

    # Guards against a body of another length than the worker's.
    def test_an_answer_with_malformed_chunks_is_not_passed_on(self):
        for chunks in (b"9\r\nmalformedXX0\r\n\r\n", b"9\rXmalformed\r\n0\r\n\r\n"):
            self.break_answers(lambda run: (
                b"HTTP/1.1 200 X\r\n" + identity(run) + CHUNKED + chunks))
            for path in ("/safe/a", "/once/a"):
                with self.subTest(chunks=chunks, path=path):
                    got = self.call(path)
                    self.assertEqual(got.status, 200 if path == "/safe/a" else 502,
                                     dump(got))
                    self.assertNotIn(b"malformed", got.body)

    # Guards against a part of an answer that looks complete, as the connection
    # was reset while the upload was still being written.
    def test_an_early_answer_that_is_reset_is_not_complete(self):
        limits = {**config(4)["limits"], "max_body_bytes": 4 << 20}
        self.fleet.configure(4, limits=limits)
        wait_until(lambda: self.fleet.in_force(4), "version 4")
        upload = b"x" * (3 << 20)
        for path, gap in itertools.product(PATHS, (0, 0.005, 0.05, 0.3)):
            with self.subTest(path=path, gap=gap):
                got = self.call(path, {"X-Early-Reset": str(gap)}, upload)
                self.assertTrue(got.status in (502, 504)
                                or "IncompleteRead" in got.failure, dump(got))


class RawTarget(Server):
    """A target of the product's own interface that sends `answer`, as it is, and
    closes the connection; `endless` is then sent until the host closes it. With
    `resets` it does not read the body of a request, and resets the connection."""

    def __init__(self, runner, name, zone):
        self.name, self.zone, self.speed = name, zone, 400
        self.answer, self.endless, self.resets = b"", b"", False
        self.runs = 0
        super().__init__(runner)

    async def exchange(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        if head.startswith(b"GET /load"):
            load = json.dumps({"time_us": time.time_ns() // 1000, "versions": ["v1"],
                               "cache_tokens_free": 100000, "incarnation": 1})
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
                         % (len(load), load.encode()))
            await writer.drain()
            return False
        self.runs += 1
        if self.endless:
            await send_endlessly(writer, self.answer, self.endless)
            return False
        if not self.resets:
            length = re.search(rb"content-length: (\d+)", head, re.I)
            await reader.readexactly(int(length.group(1)))
        writer.write(self.answer)
        await writer.drain()
        if self.resets:
            await asyncio.sleep(0.02)
            reset(writer)
        return False


class RawFleet(Fleet):
    """One host before an engine and a plain service that send raw bytes."""

    def __init__(self):
        self.runner = Loop()
        super().__init__(zones=1, hosts=1)
        self.host = self.hosts[0]

    def start_targets(self, speeds, services, options):
        (zone,) = self.zones
        self.engines = [RawTarget(self.runner, "engine", zone)]
        self.services = [RawTarget(self.runner, "service", zone)]

    def close(self, failed=False):
        super().close(failed)
        for target in (*self.engines, *self.services):
            target.close()
        self.runner.stop()

    def call(self, path, body=b"payload"):
        return call(self.host.address, "POST", path, body, {
            "Authorization": "Bearer gold-key", "Deadline-Ms": "5000",
            "Idempotency-Key": f"key-{time.monotonic_ns()}"})

    def peak_kb(self):
        status = pathlib.Path(f"/proc/{self.host.pid}/status").read_text()
        return int(status.partition("VmHWM:")[2].split()[0])


class OwnInterfaceTest(unittest.TestCase):
    """The same at the product's own interface."""

    # All buffered answers, and what is on its way to one caller or another.
    GROWTH_KB = (128 + 32) * 1024
    PLAIN_PATHS = ("/sheets/a", "/orders/a")

    def setUp(self):
        self.fleet = RawFleet()
        self.addCleanup(self.fleet.close)
        (self.service,), (self.engine,) = self.fleet.services, self.fleet.engines

    def assert_nothing_passed_on(self, what, head):
        self.service.answer = head + b"Content-Length: 9\r\n\r\nmalformed"
        for path in self.PLAIN_PATHS:
            with self.subTest(what=what, path=path):
                before = self.service.runs
                got = self.fleet.call(path)
                self.assertEqual(self.service.runs, before + 1, dump(got))
                self.assertIn(got.status, (502, 504), dump(got))
                self.assertNotIn(b"malformed", got.body)

    def test_a_sound_answer_is_passed_on(self):
        self.service.answer = b"HTTP/1.1 201 X\r\nContent-Length: 2\r\n\r\nok"
        for path in self.PLAIN_PATHS:
            got = self.fleet.call(path)
            self.assertEqual((got.status, got.body), (201, b"ok"), dump(got))

    # Guards against a status that is none and that reaches callers.
    def test_an_answer_without_a_valid_status_is_not_passed_on(self):
        for status in (b"000", b"1", b"099", b"101", b"600", b"999", b"0200",
                       b"1000", b"-20", b"20x", b"4294967496"):
            self.assert_nothing_passed_on(
                status, b"HTTP/1.1 " + status + b" X\r\n")

    # Guards against names that hold a blank or a control byte and reach callers.
    def test_a_malformed_head_is_not_passed_on(self):
        for line in (b"X More: 1", b"X-More : 1", b" X-More: 1", b"\rX-More: 1",
                     b"\x01X-More: 1", b"X-More\x7f: 1", b"X(More: 1", b": 1",
                     b"X-More: \x01"):
            self.assert_nothing_passed_on(
                line, b"HTTP/1.1 200 X\r\nX-A: b\r\n" + line + b"\r\n")

    # Guards against a part of an answer that looks complete.
    def test_an_early_answer_that_is_reset_is_not_complete(self):
        self.service.resets = True
        self.service.answer = b"HTTP/1.1 200 X\r\n\r\nmalformed"
        for path in self.PLAIN_PATHS:
            before = self.service.runs
            got = self.fleet.call(path, b"x" * 900000)
            self.assertGreater(self.service.runs, before, dump(got))
            self.assertIn(got.status, (502, 504), dump(got))

    # Guards against a host that runs out of memory over answers that never end:
    # 20 of them at once, of which the stand-in sends 640 MB.
    def test_bodies_without_end_stay_within_the_memory_of_a_host(self):
        self.assert_memory(self.service, b"\r\n", FILLER)

    # Guards against the same in a head.
    def test_heads_without_end_stay_within_the_memory_of_a_host(self):
        self.assert_memory(self.service, b"", b"X-More: more\r\n" * 1000)

    # Guards against a chunk that is kept until it is complete.
    def test_chunks_without_end_stay_within_the_memory_of_a_host(self):
        self.assert_memory(self.service, CHUNKED + b"3fffffff\r\n", FILLER)

    # Guards against the same in a stream.
    def test_events_without_end_stay_within_the_memory_of_a_host(self):
        self.assert_memory(
            self.engine, b"Content-Type: text/event-stream\r\n" + CHUNKED
            + b"3fffffff\r\ndata: ", FILLER)

    def assert_memory(self, target, head, piece):
        path, body = "/sheets/a", b"payload"
        if target is self.engine:
            path, body = "/v1/completions", COMPLETION
        target.answer, target.endless = b"HTTP/1.1 200 X\r\n" + head, piece
        before = self.fleet.peak_kb()
        with concurrent.futures.ThreadPoolExecutor(20) as pool:
            for got in pool.map(lambda _: self.fleet.call(path, body), range(20)):
                self.assertNotIn(b"[DONE]", got.body)
                if target is self.service:
                    self.assertNotEqual(got.status, 200)
        grown = self.fleet.peak_kb() - before
        print(f"{target.runs} runs, {before} KB, {grown:+} KB")
        self.assertGreaterEqual(target.runs, 20)
        self.assertLess(grown, self.GROWTH_KB)

    # Guards against the same of a stream, whose end is marked.
    def test_a_stream_that_is_reset_is_not_complete(self):
        self.engine.resets = True
        for framing, event in ((b"", EVENT), (
                b"Transfer-Encoding: chunked\r\n",
                b"%x\r\n%s\r\n" % (len(EVENT), EVENT))):
            self.engine.answer = (
                b"HTTP/1.1 200 X\r\nContent-Type: text/event-stream\r\n"
                + framing + b"\r\n" + event)
            got = self.fleet.call("/v1/completions", COMPLETION)
            self.assertIn(EVENT, got.body, dump(got))
            self.assertIn(b'"answer_cut"', got.body, dump(got))


if __name__ == "__main__":
    unittest.main()
