"""Works out docs/CAPACITY.md's tables from measured slopes.

Each table stands in the page between <!-- table NAME --> and <!-- end -->.
"""
import dataclasses
import re
import statistics


@dataclasses.dataclass
class Size:
    """The fleet to design for."""

    daemons: int = 330
    zones: int = 24
    regions: int = 6
    targets: int = 3500
    requests_per_s: float = 7900
    tokens_per_s: float = 2.4e6
    accounts: int = 1100
    models: int = 11
    changes_per_day: int = 14000
    once_share: float = 0.10     # of requests that are non-idempotent; assumed
    hot_pool_share: float = 0.25  # of a zone's requests to its busiest pool; assumed
    stream_gap_s: float = 0.08   # between tokens, the slowest allowed
    shards: int = 64             # of idempotency keys


LIMIT_CORE = 2.8      # % of a core, for control
LIMIT_BYTES = 16_000  # B/s, for control
LIMIT_MEMORY = 128    # MB
PLATFORM_WRITES = 300  # "several hundred" a second
PLATFORM_READS = 2000
MESSAGES_PER_REQUEST = 7  # as bench/slopes/peer_slopes.cpp sends them


class Slopes:
    def __init__(self, data):
        self.slopes = data["slopes"]
        self.intents = data["intents"]

    def per(self, name):
        """Slope of a fitted cost: its unit for one more of what it is per."""
        return self.slopes[name]["fit"]["slope"]

    def at(self, name, size):
        """Value of the fitted line at a size."""
        fit = self.slopes[name]["fit"]
        return fit["intercept"] + fit["slope"] * size

    def measured(self, name, size):
        """Median of the points measured at exactly that size."""
        return statistics.median(self.slopes[name]["points"][str(size)])

    def largest(self, name):
        points = self.slopes[name]["points"]
        return statistics.median(points[max(points, key=float)])

    def intent_row(self, **wanted):
        for row in self.intents:
            if all(row[key] == value for key, value in wanted.items()):
                return row
        raise KeyError(f"no intent_bench row with {wanted}")

    def shard_row(self):
        """The holder of one shard at about the target's rate for it."""
        return self.intent_row(intents_per_s=12.5, shards=1,
                               segment_bytes=4096, write_budget_per_s=4)


def table(head, rows):
    lines = ["| " + " | ".join(head) + " |", "|" + "---|" * len(head)]
    lines += ["| " + " | ".join(str(cell) for cell in row) + " |" for row in rows]
    return "\n".join(lines)


def slopes_table(slopes, size):
    rows = []
    for name, entry in sorted(slopes.slopes.items()):
        fit = entry["fit"]
        sizes = ", ".join(sorted(entry["points"], key=float))
        rows.append([
            f"`{name}`", entry["unit"], entry["per"], sizes,
            f"{fit['slope']:.4g}", f"{fit['intercept']:.4g}",
            f"{100 * fit['worst_residual']:.1f}%", f"{100 * fit['spread']:.0f}%",
        ])
    return table(["slope", "unit", "per", "measured at", "slope", "intercept",
                  "worst residual", "spread"], rows)


@dataclasses.dataclass
class Role:
    name: str
    micros: float      # processor time a second, in microseconds
    peer_bytes: float  # sent and received a second, in bytes
    memory: float      # bytes
    messages: float    # peer messages sent and received a second
    mechanism: str


def per_daemon(size):
    return size.requests_per_s / size.daemons


def roles(slopes, size):
    """One Role each, for a daemon with the mean share of it."""
    own = per_daemon(size)
    hosts_in_zone = size.daemons / size.zones
    zone_rate = size.requests_per_s / size.zones
    events = size.tokens_per_s / size.daemons
    tokens = size.tokens_per_s / size.requests_per_s
    streams = own * tokens * size.stream_gap_s
    messages = MESSAGES_PER_REQUEST
    request_bytes = slopes.per("request_peer_bytes")
    request_micros = slopes.per("request_peer_micros")
    arbiters = size.models / hosts_in_zone
    hot = zone_rate * size.hot_pool_share
    changes = size.changes_per_day / 86400
    intents = size.requests_per_s * size.once_share
    heartbeat_messages = slopes.measured("heartbeats_sent", size.zones)
    heartbeat_bytes = (slopes.measured("heartbeat_bytes_sent", size.zones)
                       + slopes.measured("heartbeat_bytes_received", size.zones))
    heartbeat_micros = (slopes.at("heartbeat_cpu", size.daemons)
                        * heartbeat_messages
                        + 2 * slopes.at("heartbeat_round_cpu", size.daemons))
    document = slopes.at("config_document", size.targets)
    per_change = (slopes.at("config_sync_cpu", size.targets)
                  + slopes.at("config_adopt_cpu", size.targets))
    reservation = slopes.largest("reservation_micros")
    shard = slopes.shard_row()
    shard_rate = intents / size.shards
    queue = own * 2  # two seconds of requests wait
    guards = slopes.per("guard_bytes") * arbiters
    return [
        Role("origin, control", own * request_micros / 2, own * request_bytes,
             queue * slopes.per("origin_queued_bytes")
             + streams * slopes.per("origin_stream_bytes"),
             own * messages, "reservations without bodies; one envelope a turn"),
        Role("arbiter, mean", own * (reservation + request_micros / 2),
             own * request_bytes,
             arbiters * slopes.largest("arbiter_bytes"), own * messages,
             "one arbiter for each pool and zone, by rendezvous hash"),
        Role("arbiter of a hot pool", hot * (reservation + request_micros / 2),
             hot * request_bytes, slopes.largest("arbiter_bytes"),
             hot * messages, "the same; the pool's share is assumed"),
        Role("configuration", changes * per_change,
             changes * slopes.at("config_delta", size.targets),
             document + slopes.at("config_index_memory", size.targets),
             changes, "one watch a zone; deltas between peers"),
        Role("holder of an intent shard",
             shard_rate * shard["micros_per_intent"],
             shard["bytes_written_per_s"] + shard_rate * 3 * 60,
             shard_rate * 3600 * 64, shard_rate * 3,
             f"{size.shards} shards; appends batched under a budget of writes"),
        Role("rollout guard", own * slopes.per("guard_micros"),
             1.0 * 40 * slopes.per("guard_evidence_cells") * zone_rate
             / size.models, guards, 1.0,
             "evidence counted where reservations end"),
        Role("member", heartbeat_micros, heartbeat_bytes,
             slopes.largest("peer_memory") * size.daemons,
             2 * heartbeat_messages, "full mesh in the zone, few links beyond"),
    ]


def roles_table(slopes, size):
    rows = [[role.name, f"{role.messages:,.1f}", f"{role.peer_bytes / 1000:,.2f}",
             f"{role.micros / 10_000:.3f}", f"{role.memory / 1e6:,.2f}",
             role.mechanism] for role in roles(slopes, size)]
    return table(["role", "messages/s", "KB/s", "% of a core", "MB",
                  "mechanism"], rows)


def daemon_sum(slopes, size):
    """Control of one daemon that holds every role at its mean."""
    mean = [role for role in roles(slopes, size) if "hot" not in role.name]
    accounts = slopes.at("histogram_bytes", size.accounts) / 1e6
    return (sum(role.micros for role in mean) / 10_000,
            sum(role.peer_bytes for role in mean) / 1000,
            sum(role.memory for role in mean) / 1e6 + accounts)


def hot_sum(slopes, size):
    """The same for the daemon that holds a zone's hot pool."""
    core, kilobytes, memory = daemon_sum(slopes, size)
    chosen = {role.name: role for role in roles(slopes, size)}
    mean, hot = chosen["arbiter, mean"], chosen["arbiter of a hot pool"]
    return (core + (hot.micros - mean.micros) / 10_000,
            kilobytes + (hot.peer_bytes - mean.peer_bytes) / 1000,
            memory + (hot.memory - mean.memory) / 1e6)


def cases(size):
    """The situations that the page looks at."""
    def change(**fields):
        return dataclasses.replace(size, **fields)

    return [
        ("mean load, half the peak", change(requests_per_s=size.requests_per_s / 2,
                                            tokens_per_s=size.tokens_per_s / 2)),
        ("peak", size),
        ("peak, one zone gone", change(zones=23, daemons=316)),
        ("peak, one region gone", change(zones=20, daemons=275, regions=5)),
        ("peak, ten times the changes", change(changes_per_day=140_000)),
    ]


def verdict(value, limit):
    return f"{value:.2f}" if value <= limit else f"**{value:.2f}, {value / limit:.1f} times the limit**"


def cases_table(slopes, size):
    rows = []
    for name, case in cases(size):
        # Heartbeats were measured at 24 zones; fewer zones cost no more.
        measured = dataclasses.replace(case, zones=24) if case.zones < 24 else case
        core, kilobytes, memory = daemon_sum(slopes, measured)
        hot_core, hot_kilobytes, hot_memory = hot_sum(slopes, measured)
        rows.append([name, verdict(core, LIMIT_CORE),
                     verdict(kilobytes, LIMIT_BYTES / 1000),
                     verdict(memory, LIMIT_MEMORY), verdict(hot_core, LIMIT_CORE),
                     verdict(hot_kilobytes, LIMIT_BYTES / 1000),
                     verdict(hot_memory, LIMIT_MEMORY)])
    return table(["case", "mean: % of a core (2.8)", "mean: KB/s (16)",
                  "mean: MB (128)", "hot arbiter: %", "hot arbiter: KB/s",
                  "hot arbiter: MB"], rows)


def data_table(slopes, size):
    """The data path of a daemon, which the control limits leave out."""
    own = per_daemon(size)
    tokens = size.tokens_per_s / size.requests_per_s
    answer = slopes.at("origin_answer_micros", tokens)
    rows = [
        ["processor time of an answer", f"{answer:,.0f} us at {tokens:.0f} events"],
        ["of it, for each event", f"{slopes.per('origin_answer_micros'):.2f} us"],
        ["at a daemon's mean of the peak",
         f"{own * answer / 10_000:.1f}% of a core at {own:.1f} requests/s and "
         f"{own * tokens:,.0f} events/s"],
        ["at ten times that", f"{own * answer / 1000:.0f}% of a core"],
        ["open streams at 80 ms between tokens",
         f"{own * tokens * size.stream_gap_s:,.0f}"],
    ]
    return table(["data path of one daemon", "at the target size"], rows)


def platform_rows(slopes, size):
    """(use, writes/s, reads/s, waiting watches) of the whole fleet."""
    changes = size.changes_per_day / 86400
    shard = slopes.shard_row()
    writes = size.shards * shard["writes_per_s"]
    reads = size.shards * shard["reads_per_s"]
    rollouts = size.models
    return [
        ("configuration", 2 * changes, changes * (size.zones + 1), size.zones),
        ("intents", writes, reads, 0),
        ("rollouts, all pools at once", rollouts / 3,
         rollouts * size.zones / 8, 0),
        ("host list, one host a zone each 10 s", 0, size.zones / 10, 0),
    ]


def platform_table(slopes, size):
    rows = platform_rows(slopes, size)
    total = [sum(row[column] for row in rows) for column in (1, 2, 3)]
    lines = [[name, f"{writes:.1f}", f"{reads:.1f}", watches]
             for name, writes, reads, watches in rows]
    lines.append(["all", f"{total[0]:.1f} of {PLATFORM_WRITES}",
                  f"{total[1]:.1f} of {PLATFORM_READS}", total[2]])
    return table(["use", "writes/s", "reads/s", "waiting watches"], lines)


TABLES = {"slopes": slopes_table, "roles": roles_table, "cases": cases_table,
          "data": data_table, "platform": platform_table}


def rewrite_page(page, data):
    """Replaces every table of the page."""
    slopes, size = Slopes(data), Size()
    text = page.read_text()
    for name, make in TABLES.items():
        pattern = rf"(<!-- table {name} -->\n).*?(<!-- end -->)"
        text, count = re.subn(pattern,
                              lambda m: m[1] + make(slopes, size) + "\n" + m[2],
                              text, flags=re.S)
        if count != 1:
            raise SystemExit(f"{page}: no place for table {name}")
    page.write_text(text)
