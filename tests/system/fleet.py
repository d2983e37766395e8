"""Starts, addresses and stops a fleet of daemons and stand-ins on loopback."""

import dataclasses
import hashlib
import http.client
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
BIN = pathlib.Path(os.environ.get("MARJORAMBAY_BIN", ROOT / "build/release/bin"))
START_TIMEOUT_S = 20
CALL_TIMEOUT_S = 30
STOP_TIMEOUT_S = 30


def wait_until(condition, what, timeout_s=START_TIMEOUT_S):
    """Returns the first true result of condition(); fails after timeout_s."""
    end = time.monotonic() + timeout_s
    while True:
        result = condition()
        if result:
            return result
        if time.monotonic() > end:
            raise TimeoutError(f"waited {timeout_s} s for: {what}")
        time.sleep(0.02)


def reserve_ports(count):
    """Returns bound sockets whose ports no one else is given.

    They don't listen, and let a listener that sets SO_REUSEADDR, as evhttp and
    ZeroMQ do, bind the port beside them for as long as they are held.
    """
    held = [socket.socket() for _ in range(count)]
    for each in held:
        each.bind(("127.0.0.1", 0))
        each.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return held


@dataclasses.dataclass
class Answer:
    """An HTTP answer; status 0: there was none, or it was cut."""

    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b""
    failure: str = ""

    @property
    def json(self):
        try:
            return json.loads(self.body)
        except ValueError:
            return {}

    @property
    def error(self):
        found = self.json.get("error")
        return found if isinstance(found, dict) else {}

    @property
    def events(self):
        """The data of each server-sent event."""
        lines = self.body.decode().split("\n\n")
        return [line[6:] for line in lines if line.startswith("data: ")]


def call(address, method, path, body=b"", headers=None, timeout_s=CALL_TIMEOUT_S):
    """Makes one HTTP call; a failure is told in the answer."""
    answer = Answer()
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    if isinstance(body, (dict, list)):
        body = json.dumps(body)
    try:
        connection.request(method, path, body or None, headers or {})
        response = connection.getresponse()
        answer.headers = {k.lower(): v for k, v in response.getheaders()}
        answer.body = response.read()
        answer.status = response.status
    except (OSError, http.client.HTTPException) as failure:
        answer.failure = repr(failure)
    finally:
        connection.close()
    return answer


class Process:
    """A child process whose output goes to a file of the fleet's folder."""

    def __init__(self, folder, name, command):
        self.name = name
        self.log = folder / f"{name}.log"
        with self.log.open("wb") as log:
            self.child = subprocess.Popen(
                [str(part) for part in command], stdout=log, stderr=log)

    @property
    def pid(self):
        return self.child.pid

    def running(self):
        return self.child.poll() is None

    def send(self, number):
        self.child.send_signal(number)

    def wait(self, timeout_s=STOP_TIMEOUT_S):
        return self.child.wait(timeout_s)

    def stop(self, timeout_s=STOP_TIMEOUT_S):
        """Ends it by SIGTERM and returns its exit code."""
        if self.running():
            self.send(signal.SIGTERM)
        return self.wait(timeout_s)

    def kill(self):
        if self.running():
            self.child.kill()
        self.child.wait()

    def printed(self, key):
        """Waits for a line key=value and returns the value."""
        def find():
            if not self.running():
                raise RuntimeError(f"{self.name} ended: {self.log.read_text()}")
            lines = self.log.read_text().splitlines()
            found = [line for line in lines if line.startswith(key + "=")]
            return found and found[0].split("=", 1)[1]
        return wait_until(find, f"{self.name} to print {key}")

    def cpu_seconds(self):
        """Processor time that it has used, user and system."""
        fields = pathlib.Path(f"/proc/{self.pid}/stat").read_text()
        fields = fields.rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class StandIn(Process):
    """A stand-in; told its faults at its control port."""

    def __init__(self, folder, name, program, /, **options):
        flags = [f"--{key.replace('_', '-')}={value}"
                 for key, value in options.items()]
        super().__init__(folder, name, [BIN / program, *flags])
        self.port = int(self.printed("port"))
        self.address = f"127.0.0.1:{self.port}"
        self.control = f"127.0.0.1:{self.printed('control')}"

    def fault(self, name, **fields):
        answer = call(self.control, "POST", "/fault", {"fault": name, **fields})
        assert answer.status == 200, answer

    def stats(self, path="/stats"):
        return call(self.control, "GET", path).json


class Host(Process):
    """An entry host."""

    def __init__(self, folder, plan):
        self.zone = plan["host"]["zone"]
        self.address = plan["caller"]["address"]
        self.operator = plan["operator"]["address"]
        settings = folder / f"{plan['host']['name']}.ini"
        settings.write_text(ini_text(plan))
        super().__init__(folder, plan["host"]["name"],
                         [BIN / "marjorambayd", "--config", settings])

    def ready(self):
        return call(self.operator, "GET", "/readyz", timeout_s=5).status == 200

    def inspect(self):
        return call(self.operator, "GET", "/inspect").json

    def revision(self):
        """Revision in force; 0 when it can't be told."""
        return call(self.operator, "GET", "/config", timeout_s=2).json.get(
            "revision", 0)

    def metrics(self):
        """Returns a dict of sample name with labels to value."""
        text = call(self.operator, "GET", "/metrics").body.decode()
        pairs = [line.rsplit(" ", 1) for line in text.splitlines()
                 if line and not line.startswith("#")]
        return {name: float(value) for name, value in pairs}


def ini_text(plan):
    lines = []
    for section, values in plan.items():
        lines.append(f"[{section}]")
        for key, value in values.items():
            for each in value if isinstance(value, list) else [value]:
                lines.append(f"{key} = {each}")
    return "\n".join(lines) + "\n"


def key_hash(api_key):
    return hashlib.sha256(api_key.encode()).hexdigest()


def ctl(host, *words, code=0):
    """Runs marjorambayctl with --json and returns what it printed."""
    command = [str(BIN / "marjorambayctl"), "--host", host.operator, "--json",
               *[str(word) for word in words]]
    done = subprocess.run(command, capture_output=True, text=True, timeout=120,
                          env={"USER": "anna"})
    assert done.returncode == code, (words, done)
    return json.loads(done.stdout)


TIERS = ["interactive", "standard", "batch"]
ACCOUNTS = {"gold": "interactive", "silver": "standard", "bronze": "batch"}
ROUTES = [
    {"name": "completions", "path_prefix": "/v1/completions",
     "kind": "completions", "pool": "models"},
    {"name": "chat", "path_prefix": "/v1/chat/completions",
     "kind": "chat_completions", "pool": "models"},
    {"name": "sheets", "path_prefix": "/sheets", "kind": "call",
     "pool": "sheets"},
    {"name": "orders", "path_prefix": "/orders", "kind": "once_call",
     "pool": "sheets", "tier": "interactive"},
]


class Fleet:
    """A platform, zones of entry hosts, engines and plain services.

    engine_speeds: one engine in each zone for each entry, in tokens/s.
    settings: overrides of host settings, {"section": {"key": value}}.
    """

    def __init__(self, zones=2, hosts=2, engine_speeds=(400, 100), services=1,
                 settings=None, engine_options=None, defaults=None,
                 max_requests_in_flight=32):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="marjorambay-"))
        self.processes = []
        self.hosts = []
        self.engines = []
        self.services = []
        self.reserved = []
        self.settings = settings or {}
        self.defaults = defaults or {}
        self.max_requests_in_flight = max_requests_in_flight
        self.zones = [f"zone-{number + 1}" for number in range(zones)]
        try:
            self.platform = self.add(StandIn(
                self.folder, "platform", "platform_standin"))
            self.start_targets(engine_speeds, services, engine_options or {})
            self.put_config(self.config())
            self.plans = self.host_plans(hosts)
            for plan in self.plans:
                self.start_host(plan)
            self.wait_ready()
        except BaseException:
            self.close(failed=True)
            raise

    def add(self, process):
        self.processes.append(process)
        return process

    def start_targets(self, speeds, services, options):
        for zone in self.zones:
            for number, speed in enumerate(speeds):
                engine = self.add(StandIn(
                    self.folder, f"engine-{zone}-{number + 1}",
                    "engine_standin", speed=speed, **options))
                engine.zone, engine.speed = zone, speed
                self.engines.append(engine)
        for number in range(services):
            service = self.add(StandIn(
                self.folder, f"service-{number + 1}", "service_standin"))
            service.zone = self.zones[number % len(self.zones)]
            self.services.append(service)

    def config(self):
        """The fleet configuration as its JSON document."""
        targets = [
            {"name": engine.name, "address": engine.address, "pool": "models",
             "zone": engine.zone, "version": "v1",
             "tokens_per_second": engine.speed, "checks_fencing": True,
             "max_requests_in_flight": self.max_requests_in_flight}
            for engine in self.engines]
        targets += [
            {"name": service.name, "address": service.address,
             "pool": "sheets", "zone": service.zone}
            for service in self.services]
        return {
            "revision": 1,
            "tiers": [{"name": name, "rank": rank}
                      for rank, name in enumerate(TIERS)],
            "accounts": [
                {"name": name, "api_key_hash": key_hash(name + "-key"),
                 "tier": tier} for name, tier in ACCOUNTS.items()],
            "pools": [
                {"name": "models", "kind": "model", "version": "v1",
                 "models": ["small"]},
                {"name": "sheets", "kind": "service"}],
            "targets": targets,
            "routes": ROUTES,
            "defaults": self.defaults,
        }

    def put_config(self, document):
        answer = call(self.platform.address, "PUT", "/v1/objects/config/fleet",
                      document, {"If-Version": str(document["revision"] - 1)})
        assert answer.status == 200, answer

    def host_plans(self, hosts_per_zone):
        plans = []
        for zone in self.zones:
            for number in range(hosts_per_zone):
                held = reserve_ports(3)
                self.reserved += held
                caller, peer, operator = (
                    each.getsockname()[1] for each in held)
                plans.append({
                    "host": {"name": f"host-{zone}-{number + 1}", "zone": zone},
                    "caller": {"address": f"127.0.0.1:{caller}"},
                    "peer": {"address": f"127.0.0.1:{peer}"},
                    "operator": {"address": f"127.0.0.1:{operator}"},
                    "platform": {"address": self.platform.address},
                })
        for plan in plans:
            plan["peer"]["seed"] = [
                f"{other['host']['name']} {other['host']['zone']} region "
                f"{other['peer']['address']}"
                for other in plans if other is not plan]
            for section, values in self.settings.items():
                plan.setdefault(section, {}).update(values)
        return plans

    def start_host(self, plan):
        host = self.add(Host(self.folder, plan))
        host.plan = plan
        self.hosts.append(host)
        return host

    def restart(self, host):
        """Starts a host anew in place of one that has ended."""
        self.hosts.remove(host)
        self.processes.remove(host)
        return self.start_host(host.plan)

    def wait_ready(self):
        for host in self.hosts:
            def ready(host=host):
                if not host.running():
                    raise RuntimeError(
                        f"{host.name} ended: {host.log.read_text()[-2000:]}")
                return host.ready()
            wait_until(ready, f"{host.name} to be ready")

    def load(self, hosts=None, to=None, **options):
        """Starts a load client; finish() of it returns its results."""
        addresses = to or [host.address for host in hosts or self.hosts]
        options.setdefault("api_keys", "gold-key")
        return Load(self, to=",".join(addresses), **options)

    def close(self, failed=False):
        """Ends what still runs; keeps the logs of a failed run."""
        for process in self.processes:
            process.kill()
        for held in self.reserved:
            held.close()
        if failed or os.environ.get("MARJORAMBAY_KEEP"):
            print("logs are in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def __enter__(self):
        return self

    def __exit__(self, kind, value, trace):
        self.close(failed=kind is not None)


class Load(Process):
    """A run of the load client."""

    count = 0

    def __init__(self, fleet, **options):
        Load.count += 1
        flags = [f"--{key.replace('_', '-')}={value}"
                 for key, value in {"seed": Load.count, **options}.items()
                 if value != ""]
        super().__init__(fleet.folder, f"load-{Load.count}",
                         [BIN / "load_client", *flags])
        fleet.add(self)

    def finish(self, timeout_s=90):
        assert self.wait(timeout_s) == 0, self.log.read_text()
        return json.loads(self.log.read_text())
