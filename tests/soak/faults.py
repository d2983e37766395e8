"""What goes wrong in a soak: each fault returns how to end it."""

import signal
import time

from platform_fleet import config, route

STOP_S = 10  # twice the grace period
LOADING_S = 0.2  # from exec to main(), on a busy machine
RESTORE_WEIGHT = 3  # against 12 of the other faults
NOTICE_WEIGHT = 2  # of each fault of that kind, against the same 12


class Faults:
    """Faults of a soak, which has `random`, `fleet` and `proxies`."""

    def trouble(self, run):
        kind = self.random.random()
        if kind < 0.02:
            return self.random.choice(
                ("reset_before", "reset_after", "error", "silent", "full",
                 "twice", "break:2") + ("cut:2", "hold:0.4") * self.notices)
        return None

    def fault(self):
        """Starts one fault; returns how to end it."""
        choice = self.random.choice((
            self.kill, self.kill, self.freeze, self.stop, self.reload,
            self.worker_proxy, self.worker_proxy, self.store_mode,
            self.store_cut, self.forget, self.lose_writes, self.configure)
            + (self.restore,) * RESTORE_WEIGHT * self.restores
            + (self.worker_unframed, self.worker_leaves) * NOTICE_WEIGHT
            * self.notices)
        self.faults.append(choice.__name__)
        return choice()

    def kill(self):
        host = self.random.choice(self.fleet.hosts)
        killed = self.happens("kill", host.name)
        host.kill()

        def again():
            self.revive(host)
            killed()

        return again

    def freeze(self):
        host = self.random.choice(self.fleet.hosts)
        frozen = self.happens("freeze", host.name)
        host.signal(signal.SIGSTOP)

        def go_on():
            host.signal(signal.SIGCONT)
            frozen()

        return go_on

    def stop(self):
        host = self.random.choice(self.fleet.hosts)
        stopping = self.happens("stop", host.name)
        host.signal(signal.SIGTERM)
        stopped = host.process

        def again():
            host.signal(signal.SIGCONT)
            stopped.wait(STOP_S)
            stopping()
            self.revive(host)

        return again

    def revive(self, host):
        # Faults overlap: another may have started the host again.
        if host.process.poll() is not None:
            host.start()

    def reload(self):
        host = self.random.choice(self.fleet.hosts)
        # A process that is being loaded has no say in what SIGHUP does to it.
        if time.monotonic() - host.started_at > LOADING_S:
            self.happens("reload", host.name)()
            host.signal(signal.SIGHUP)
        return lambda: None

    def worker_proxy(self):
        place, proxy = self.random.choice(list(enumerate(self.proxies)))
        mode = self.random.choice(("delay", "silent", "no_answers", "refuse",
                                   "cut"))
        disrupted = self.happens("disruption", list(self.fleet.workers)[place])
        if mode == "cut":
            proxy.cut()
        else:
            proxy.mode = mode

        def pass_on():
            proxy.mode = "pass"
            disrupted()

        return pass_on

    def worker_unframed(self):
        """Answers of a worker end with their connection for a while."""
        worker = self.random.choice(list(self.fleet.workers.values()))
        worker.until_close = True
        return lambda: setattr(worker, "until_close", False)

    def worker_leaves(self):
        """A worker says that it leaves, and then starts again."""
        place, worker = self.random.choice(
            list(enumerate(self.fleet.workers.values())))
        worker.notices = {"Server-Leaving": "1"}

        def start_again():
            worker.notices = {}
            worker.born += 1
            entry = worker.entry("ready")
            entry["address"] = self.proxies[place].address
            self.fleet.store.put("servers", worker.name, entry)

        return start_again

    def store_mode(self):
        store = self.fleet.store
        store.mode = self.random.choice(("silent", "busy", "reset"))

        def back():
            store.mode = "up"
            store.cut_connections()

        return back

    def store_cut(self):
        self.fleet.store.cut_connections()
        return lambda: None

    def forget(self):
        self.fleet.store.forget_history()
        return lambda: None

    def restore(self):
        """The store is away for a moment and comes back from a copy.

        The operator and the workers then write again what is theirs.
        """
        store = self.fleet.store
        taken = store.copy()

        def put_back():
            store.mode = "reset"
            time.sleep(0.2)
            store.restore(taken)
            store.mode = "up"
            time.sleep(self.random.uniform(0, 1))
            for worker, proxy in zip(self.fleet.workers.values(), self.proxies):
                entry = worker.entry("ready")
                entry["address"] = proxy.address
                store.put("servers", worker.name, entry)
            store.put("config", "main", self.newest)

        return put_back

    def lose_writes(self):
        self.fleet.store.lose_writes = 3
        return lambda: setattr(self.fleet.store, "lose_writes", 0)

    def configure(self):
        self.version += self.random.randint(1, 3)
        more = [route(f"more-{each}", f"/more{each}/", "desk", "safe")
                for each in range(self.random.randint(0, 5))]
        self.newest = config(self.version, routes=config(1)["routes"] + more)
        self.happens("configuration")()
        self.fleet.store.put("config", "main", self.newest)
        return lambda: None
