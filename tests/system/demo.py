"""A fleet of two availability zones, one call of each kind, and three bad ones.

Prints each answer with the way it took and a table by tier. Exits 0 only if
every answer was right and every process stopped gracefully.
"""

import dataclasses
import json
import sys
import time

from fleet import ACCOUNTS, TIERS, Fleet, call

MAX_TOKENS = 12


@dataclasses.dataclass
class Step:
    """A call of the demo and what is right as its answer."""

    title: str
    account: str
    path: str
    body: object
    status: int = 200
    check: object = lambda answer: True
    headers: dict = dataclasses.field(default_factory=dict)
    error: str = ""


def text_of(marker):
    """What an engine stand-in answers to a prompt that ends in marker."""
    return " ".join([marker, *(str(n) for n in range(1, MAX_TOKENS))])


def completion(marker, stream):
    return {"model": "small", "prompt": f"Summary of the day: {marker}",
            "max_tokens": MAX_TOKENS, "stream": stream}


def chat(marker, stream):
    return {"model": "small", "max_tokens": MAX_TOKENS, "stream": stream,
            "messages": [{"role": "user", "content": f"Explain {marker}"}]}


def streamed_text(field):
    def read(answer):
        events = answer.events
        if events[-1] != "[DONE]":
            return ""
        choices = [choice for event in events[:-1]
                   for choice in json.loads(event)["choices"]]
        return "".join(choice["text"] if field == "text" else
                       choice["delta"]["content"] for choice in choices)
    return read


def whole_text(answer):
    choice = answer.json["choices"][0]
    return choice["text"] if "text" in choice else choice["message"]["content"]


def steps():
    order = {"order": "twelve boxes"}
    echo = json.dumps(order)
    key = {"Idempotency-Key": "order-1"}
    return [
        Step("completion, streamed", "gold", "/v1/completions",
             completion("alpha", True),
             check=lambda a: streamed_text("text")(a) == text_of("alpha")),
        Step("completion, whole", "silver", "/v1/completions",
             completion("beta", False),
             check=lambda a: whole_text(a) == text_of("beta")),
        Step("chat, streamed", "bronze", "/v1/chat/completions",
             chat("gamma", True),
             check=lambda a: streamed_text("delta")(a) == text_of("gamma")),
        Step("chat, whole", "gold", "/v1/chat/completions",
             chat("delta", False),
             check=lambda a: whole_text(a) == text_of("delta")),
        Step("service call", "silver", "/sheets/today", {"rows": 3},
             check=lambda a: json.loads(a.json["echo"]) == {"rows": 3}),
        Step("non-idempotent call", "gold", "/orders", order, headers=key,
             check=lambda a: a.json["echo"] == echo),
        Step("same key again", "gold", "/orders", order, headers=key),
        Step("bad: unknown API key", "nobody", "/v1/completions",
             completion("x", False), status=401, error="unauthenticated"),
        Step("bad: not JSON", "gold", "/v1/completions", "{prompt",
             status=400, error="bad_request"),
        Step("bad: no idempotency key", "gold", "/orders", order,
             status=400, error="missing_idempotency_key"),
    ]


def is_right(step, answer):
    """Returns what is wrong with an answer, or ""."""
    if answer.failure or answer.status != step.status:
        return f"status {answer.status}, wanted {step.status} {answer.failure}"
    if answer.error.get("kind", "") != step.error:
        return f"error {answer.error}, wanted {step.error or 'none'}"
    try:
        return "" if step.check(answer) else f"wrong answer {answer.body!r}"
    except (ValueError, KeyError, IndexError, TypeError) as failure:
        return f"wrong answer {answer.body!r}: {failure!r}"


def run_step(host, step):
    headers = {"Authorization": f"Bearer {step.account}-key",
               "Content-Type": "application/json", "Deadline-Ms": "20000",
               **step.headers}
    start = time.monotonic()
    answer = call(host.address, "POST", step.path, step.body, headers)
    took_ms = (time.monotonic() - start) * 1000
    return answer, took_ms, is_right(step, answer)


def run_steps(fleet):
    """Sends the calls in turn to the hosts; returns rows and failures."""
    rows = []
    failures = []
    print(f"{'call':26}{'status':>7} {'entry host':16}{'target':18}"
          f"{'tier':13}{'ms':>6}  verdict")
    for number, step in enumerate(steps()):
        host = fleet.hosts[number % len(fleet.hosts)]
        answer, took_ms, wrong = run_step(host, step)
        way = [answer.headers.get(name, "-")
               for name in ("served-by", "target", "tier")]
        kind = answer.error.get("kind", "")
        print(f"{step.title:26}{answer.status:>7} {way[0]:16}{way[1]:18}"
              f"{way[2]:13}{took_ms:6.0f}  {'WRONG ' + wrong if wrong else 'right'}"
              f"{' (' + kind + ')' if kind else ''}")
        rows.append((ACCOUNTS.get(step.account), answer.status, took_ms))
        if wrong:
            failures.append(f"{step.title}: {wrong}")
    return rows, failures


def print_tiers(rows):
    print(f"\n{'tier':14}{'calls':>6}{'answered':>10}{'refused':>9}"
          f"{'slowest ms':>12}")
    for tier in TIERS:
        mine = [row for row in rows if row[0] == tier]
        answered = sum(status == 200 for _, status, _ in mine)
        slowest = max((ms for _, _, ms in mine), default=0)
        print(f"{tier:14}{len(mine):>6}{answered:>10}"
              f"{len(mine) - answered:>9}{slowest:>12.0f}")


def check_counts(fleet):
    """What the targets counted: no key applied, no request sent twice."""
    applied = {}
    for service in fleet.services:
        applied.update(service.stats()["keys"])
    wrong = [] if applied == {"order-1": 1} else [f"keys applied: {applied}"]
    for target in fleet.engines + fleet.services:
        twice = {request: count for request, count
                 in target.stats()["requests"].items() if count != 1}
        if twice:
            wrong.append(f"{target.name}: dispatched more than once: {twice}")
    return wrong


def stop_all(fleet):
    """Stops hosts first, then what they use; exit codes other than 0."""
    order = fleet.hosts + fleet.engines + fleet.services + [fleet.platform]
    codes = {process.name: process.stop() for process in order}
    print(f"\nstopped {len(codes)} processes by SIGTERM")
    return [f"{name} ended with exit code {code}"
            for name, code in codes.items() if code != 0]


def main():
    with Fleet() as fleet:
        print(f"{len(fleet.hosts)} entry hosts in {len(fleet.zones)} zones, "
              f"{len(fleet.engines)} engines, {len(fleet.services)} service\n")
        rows, failures = run_steps(fleet)
        print_tiers(rows)
        failures += check_counts(fleet)
        failures += stop_all(fleet)
    for failure in failures:
        print("FAILED", failure)
    print("demo:", "FAILED" if failures else "every answer was right")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
