"""Measures one entry host against the same load sent straight to the engines.

Two entry hosts in one zone; all callers connect to one of them, so reservations
also cross to the other for the pools whose arbiter it is. Needed of one daemon
on one core: 240 requests/s and 73,000 relayed stream events/s.
"""

import dataclasses
import json
import pathlib
import sys

from fleet import Fleet

MEAN_REQUESTS_PER_S = 24
NEEDED_REQUESTS_PER_S = 240
NEEDED_EVENTS_PER_S = 73_000
# Short steps keep the engines' own waits out of the added time.
FAST_TOKENS_PER_S = 5000
STREAM_TOKENS_PER_S = 200
CLIENTS = 3
ENGINES = 4
ENGINE_OPTIONS = {"batch_slowdown": 0, "prefill": 2_000_000,
                  "cache_tokens": 0}


@dataclasses.dataclass
class Run:
    """What one load through one way came to."""

    whole: int
    calls: int
    events: int
    seconds: float
    first_ms: dict
    total_ms: dict
    cpu: dict          # seconds, by process name
    http_bytes: int    # read and written by the entry host
    verdicts: dict


def io_bytes(process):
    text = pathlib.Path(f"/proc/{process.pid}/io").read_text()
    fields = dict(line.split(": ") for line in text.splitlines())
    return int(fields["rchar"]) + int(fields["wchar"])


def run(fleet, direct, rate, seconds, tokens, stream):
    """Sends rate calls/s for a time through the host, or past it."""
    count = int(rate * seconds / CLIENTS)
    to = [engine.address for engine in fleet.engines]
    host = fleet.hosts[0]
    cpu_before = {each.name: each.cpu_seconds() for each in fleet.hosts}
    io_before = io_bytes(host)
    clients = [fleet.load(to=to if direct else [host.address],
                          count=count, rate=rate / CLIENTS, stream=int(stream),
                          max_tokens=tokens, version="v1" if direct else "")
               for _ in range(CLIENTS)]
    results = [client.finish() for client in clients]
    cpu = {each.name: each.cpu_seconds() - cpu_before[each.name]
           for each in fleet.hosts}
    verdicts = {}
    for result in results:
        for verdict, number in result["verdicts"].items():
            verdicts[verdict] = verdicts.get(verdict, 0) + number
    return Run(verdicts.get("whole", 0), count * CLIENTS,
               sum(result["events"] for result in results),
               max(result["seconds"] for result in results),
               worst(results, "first_ms"), worst(results, "total_ms"), cpu,
               io_bytes(host) - io_before, verdicts)


def worst(results, key):
    """The largest of each quantile over the clients."""
    names = set().union(*(result[key] for result in results))
    return {name: max(result[key].get(name, 0) for result in results)
            for name in names}


def added(ours, straight, key):
    return [ours.get(q, float("nan")) - straight.get(q, float("nan"))
            for q in ("p50", "p99")]


def show(name, ours, straight, fleet):
    cpu = ours.cpu[fleet.hosts[0].name]
    other = sum(ours.cpu.values()) - cpu
    print(f"\n{name}")
    print(f"  straight: {straight.whole}/{straight.calls} whole, "
          f"{straight.events / straight.seconds:,.0f} events/s")
    print(f"  ours:     {ours.whole}/{ours.calls} whole, "
          f"{ours.events / ours.seconds:,.0f} events/s, "
          f"{ours.calls / ours.seconds:,.0f} requests/s {ours.verdicts}")
    for title, key in (("first answer", "first_ms"), ("whole answer", "total_ms")):
        p50, p99 = added(getattr(ours, key), getattr(straight, key), key)
        print(f"  added to the {title}: {p50:.2f} ms at p50, "
              f"{p99:.2f} ms at p99")
    print(f"  processor time: {cpu:.2f} s in {ours.seconds:.1f} s "
          f"({100 * cpu / ours.seconds:.0f}% of a core); "
          f"the other host {other:.2f} s")
    print(f"  for each request: {1e6 * cpu / ours.calls:,.0f} us, "
          f"{ours.http_bytes / ours.calls:,.0f} bytes of HTTP read and written")
    pace = (ours.events or ours.calls) / ours.seconds
    pace /= (straight.events or straight.calls) / straight.seconds
    print(f"  pace: {100 * pace:.0f}% of straight; less than 95% says that the "
          f"host fell behind, or that other work had its core")
    if cpu > 0:
        print(f"  for each core: {ours.calls / cpu:,.0f} requests/s, "
              f"{ours.events / cpu:,.0f} events/s")
    return cpu


def verdict(name, held, needed):
    met = held >= needed
    print(f"  {'MET    ' if met else 'NOT MET'} {name}: {held:,.0f}, "
          f"needed {needed:,}")
    return met


def bench_fleet(speed):
    return Fleet(zones=1, hosts=2, engine_speeds=[speed] * ENGINES, services=0,
                 engine_options=ENGINE_OPTIONS,
                 settings={"log": {"level": "warning"}},
                 max_requests_in_flight=2000)


def compare(fleet, name, plan):
    """Runs one load straight and through the host; prints and returns it."""
    for direct in (True, False):  # connections and code paths warm
        run(fleet, direct, 60, 1, 2, True)
    straight = run(fleet, True, *plan)
    ours = run(fleet, False, *plan)
    return ours, show(name, ours, straight, fleet)


def stopped_well(fleet):
    return [host.stop() for host in fleet.hosts] == [0, 0]


def points(runs):
    """Prints processor time an answer at several lengths, as JSON lines."""
    def point(name, size, value):
        print(json.dumps({"name": name, "per": "stream event of an answer",
                          "unit": "us", "size": size, "value": value}))

    with bench_fleet(STREAM_TOKENS_PER_S) as fleet:
        for direct in (True, False):
            run(fleet, direct, 60, 1, 2, True)
        for tokens in (8, 100, 304):
            for _ in range(runs):
                ours = run(fleet, False, 120, 4, tokens, True)
                origin = ours.cpu[fleet.hosts[0].name]
                arbiter = sum(ours.cpu.values()) - origin
                point("origin_answer_micros", tokens, 1e6 * origin / ours.calls)
                point("peer_answer_micros", tokens, 1e6 * arbiter / ours.calls)
    return 0


def main():
    if "--points" in sys.argv:
        return points(int(sys.argv[sys.argv.index("--points") + 1]))
    with bench_fleet(FAST_TOKENS_PER_S) as fleet:
        compare(fleet, "whole answers of 8 tokens at 240 requests/s",
                (NEEDED_REQUESTS_PER_S, 4, 8, False))
        stopped = stopped_well(fleet)
    with bench_fleet(STREAM_TOKENS_PER_S) as fleet:
        compare(fleet, "streams of 304 tokens at 24 requests/s",
                (MEAN_REQUESTS_PER_S, 4, 304, True))
        ours, cpu = compare(fleet, "streams of 304 tokens at 240 requests/s",
                            (NEEDED_REQUESTS_PER_S, 8, 304, True))
        stopped = stopped_well(fleet) and stopped
    print("\nNeeded of a daemon on one core, by its processor time, requests "
          "and events together:")
    met = [verdict("requests/s for each core", ours.whole / cpu,
                   NEEDED_REQUESTS_PER_S),
           verdict("events/s for each core", ours.events / cpu,
                   NEEDED_EVENTS_PER_S),
           verdict("whole answers at that load", ours.whole, ours.calls)]
    print(f"  {'MET    ' if stopped else 'NOT MET'} both hosts stop with 0")
    return 0 if all(met) and stopped else 1


if __name__ == "__main__":
    sys.exit(main())
