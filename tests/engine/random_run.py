"""Random runs of whole engines under faults: `python -m tests.engine.random_run`."""

import collections

import attrs

from tests.engine.support import ORGANISATIONS, Deployment
from tests.support_runs import SeededRuns, parser_of
from wagtailrill.core.events import DrainRequested
from wagtailrill.core.refusals import Ran
from wagtailrill.declaration.models import DataCentreState

RUN_S = 14.0
REQUEST_INTERVAL_S = 0.05
REPEATS_MAX = 4


class Schedule:
    """One seeded run: requests, repeats and faults, then checks."""

    def __init__(self, seed):
        self.deployment = Deployment(seed)
        self.fleet = self.deployment.fleet
        self.rng = self.deployment.rng
        self.deployment.start()
        self.end_s = self.fleet.now_s + RUN_S
        self.drained = []
        self.faults = (
            self.kill_instance,
            self.pause_instance,
            self.cut_instance,
            self.crash_backend,
            self.freeze_backend,
            self.stop_store,
            self.lose_messages,
            self.cut_backend,
            self.slow_backend,
            self.slow_releases,
            self.drain_instance,
            self.move_data_centre,
        )

    def run(self):
        """Run the schedule and check its promises."""
        for _ in range(self.rng.randint(2, 5)):
            fault = self.rng.choice(self.faults)
            self.fleet.call_later(self.rng.uniform(0.0, RUN_S * 0.6), fault)
        self.fleet.call_later(0.0, self.request)
        self.fleet.run_until(self.end_s)
        self.heal()
        self.fleet.run_until(self.end_s + 12.0)
        self.check()
        return self

    def request(self):
        """Send a request, and go on until the end of the run."""
        if self.fleet.now_s >= self.end_s:
            return
        kind = self.rng.choice(("ledger", "card", "release", "lookup"))
        if kind == "release":
            self.release(self.deployment.idempotency_key(), self.rng.random(), 0)
        else:
            key = f"k{self.rng.randint(1, 40)}"
            lookup = kind == "lookup"
            method = "POST" if lookup else "GET"
            self.send(method, "/lookup" if lookup else f"/{kind}/{key}")
        delay_s = self.rng.expovariate(1.0 / REQUEST_INTERVAL_S)
        self.fleet.call_later(delay_s, self.request)

    def send(self, method, path, key="", body=b""):
        """Deliver a request through any live instance."""
        live = sorted(self.fleet.nodes)
        organisation = self.rng.choice(ORGANISATIONS)
        if key:
            organisation = ORGANISATIONS[sum(key.encode()) % len(ORGANISATIONS)]
        instance = self.rng.choice(live)
        return self.deployment.callers.send(
            instance, method, path, organisation, key, body
        )

    def release(self, key, number, repeats):
        """Deliver a request that must run once; repeat it like an anxious caller."""
        delivery = self.send("POST", "/release", key, f"{number}".encode())

        def again():
            if not delivery.answered and repeats < REPEATS_MAX:
                self.release(key, number, repeats + 1)

        self.fleet.call_later(self.rng.choice((0.05, 0.5, 2.2)), again)

    def kill_instance(self):
        """Lose an instance and replace it later."""
        name = self.rng.choice(sorted(self.fleet.nodes))
        if len(self.fleet.nodes) <= 3:
            return
        self.deployment.kill(name)
        self.fleet.call_later(self.rng.uniform(0.5, 5.0), lambda: self.replace(name))

    def replace(self, name):
        """Start a process that knows nothing."""
        if name not in self.fleet.nodes:
            self.deployment.start_instance(name)

    def pause_instance(self):
        """Pause an instance for a while."""
        name = self.rng.choice(sorted(self.fleet.nodes))
        self.fleet.pause(name)
        delay_s = self.rng.choice((0.3, 1.5, 4.0))
        self.fleet.call_later(delay_s, lambda: self.fleet.resume(name))

    def cut_instance(self):
        """Cut one or two instances off from the others."""
        names = sorted(self.fleet.nodes)
        self.fleet.partition(set(self.rng.sample(names, self.rng.randint(1, 2))))
        self.fleet.call_later(self.rng.uniform(0.5, 6.0), self.fleet.heal)

    def any_backend(self):
        """Return the name of a backend server."""
        return self.rng.choice(sorted(self.deployment.backends.by_name))

    def crash_backend(self):
        """Restart a backend server without warning."""
        self.deployment.backends.crash(self.any_backend(), self.rng.uniform(0.0, 3.0))

    def freeze_backend(self):
        """Freeze a backend server, which later goes on as if nothing had happened."""
        name = self.any_backend()
        self.deployment.backends.freeze(name)
        delay_s = self.rng.choice((0.2, 1.2, 5.0))
        self.fleet.call_later(delay_s, lambda: self.deployment.backends.unfreeze(name))

    def slow_backend(self):
        """Stall a backend server, also so that orders run on past their deadline."""
        model = self.deployment.backends.by_name[self.any_backend()].model
        model.slowdown = self.rng.choice((20.0, 600.0))

    def drain_instance(self):
        """Stop an instance as planned and replace it later."""
        name = self.rng.choice(sorted(self.fleet.nodes))
        row = self.fleet.nodes[name]
        self.fleet.deliver(name, DrainRequested(), 0.0)
        self.drained.append(row)
        self.fleet.call_later(9.0, lambda: self.end_drain(row))

    def end_drain(self, row):
        """Replace a process that was stopped as planned."""
        if self.fleet.nodes.get(row.name) is row:
            self.deployment.kill(row.name)
            self.replace(row.name)

    def move_data_centre(self):
        """Take a data centre out, and bring it back later."""
        declaration = self.deployment.declaration
        name = self.rng.choice(declaration.data_centres).name
        moved = tuple(
            attrs.evolve(dc, state=DataCentreState.OUT) if dc.name == name else dc
            for dc in declaration.data_centres
        )
        changed = attrs.evolve(declaration, data_centres=moved)
        self.deployment.write_configuration(changed)
        self.fleet.call_later(self.rng.uniform(1.0, 5.0), self.restore_configuration)

    def restore_configuration(self):
        """Accept the first declaration again."""
        self.deployment.write_configuration(self.deployment.declaration)

    def slow_releases(self):
        """Stall the servers of requests that must run once, and lose an instance."""
        for name, backend in self.deployment.backends.by_name.items():
            if name.startswith("release"):
                backend.model.slowdown = 200.0
        self.fleet.call_later(0.5, self.kill_instance)

    def cut_backend(self):
        """Cut one instance off from one backend server."""
        pair = (self.rng.choice(sorted(self.fleet.nodes)), self.any_backend())
        self.deployment.backends.cut.add(pair)

    def stop_store(self):
        """Stop the store for a while, or let it lose answers."""
        if self.rng.random() < 0.5:
            self.fleet.store.lost_answer_probability = 0.3
        else:
            self.fleet.store.down = True
        self.fleet.call_later(self.rng.uniform(0.5, 8.0), self.heal_store)

    def heal_store(self):
        """Let the store work again."""
        self.fleet.store.down = False
        self.fleet.store.lost_answer_probability = 0.0

    def lose_messages(self):
        """Lose a part of the messages between instances."""
        self.fleet.lost_message_probability = self.rng.choice((0.02, 0.2))

    def heal(self):
        """End all faults."""
        self.heal_store()
        self.restore_configuration()
        for row in self.drained:
            self.end_drain(row)
        self.fleet.heal()
        self.fleet.lost_message_probability = 0.0
        self.deployment.backends.cut.clear()
        for name, backend in self.deployment.backends.by_name.items():
            backend.model.slowdown = 1.0
            self.deployment.backends.unfreeze(name)
        for name in self.deployment.names:
            self.fleet.resume(name)
            self.replace(name)

    def check(self):
        """Assert what must always hold."""
        self.check_at_most_once()
        self.check_refusals()
        self.check_answers()
        self.check_owners()
        self.check_recovered()

    def check_at_most_once(self):
        """No idempotency key was run twice."""
        runs = collections.Counter(
            x.idempotency_key for x in self.deployment.backends.executions
        )
        del runs[""]
        twice = {key: n for key, n in runs.items() if n > 1}
        assert not twice, f"run more than once: {twice}"

    def check_refusals(self):
        """No refusal that says `ran: no` is about a delivery that was run."""
        ran = {x.delivery for x in self.deployment.backends.executions}
        false = [
            (d.name, d.code)
            for d in self.deployment.callers.deliveries
            if d.ran is Ran.NO and d.name in ran
        ]
        assert not false, f"run, but refused with ran: no: {false}"

    def check_answers(self):
        """Each answer belongs to the delivery, or to one with the same key."""
        keys = {d.name: d.idempotency_key for d in self.deployment.callers.deliveries}
        for delivery in self.deployment.callers.deliveries:
            if not delivery.answered or delivery.answered_by == delivery.name:
                continue
            key = delivery.idempotency_key
            assert key, f"{delivery.name} got the answer of {delivery.answered_by}"
            assert keys[delivery.answered_by] == key

    def check_owners(self):
        """The epochs of executed orders of a key slot never go back."""
        last = {}
        for x in self.deployment.backends.executions:
            if x.slot is None:
                continue
            service = x.backend_server.partition("-")[0]
            epoch, server = last.get((service, x.slot), (0, ""))
            assert x.epoch >= epoch, f"{x} after epoch {epoch} of {server}"
            if x.epoch == epoch:
                assert server == x.backend_server, f"{x}: two owners in one epoch"
            last[(service, x.slot)] = (x.epoch, x.backend_server)

    def check_recovered(self):
        """After all faults have ended, each instance answers on each service."""
        deliveries = []
        for name in sorted(self.fleet.nodes):
            for path in ("/ledger/k1", "/card/k1"):
                deliveries.append(
                    self.deployment.callers.send(name, "GET", path, "small")
                )
            deliveries.append(
                self.deployment.callers.send(name, "POST", "/lookup", "small")
            )
        self.fleet.run_until(self.fleet.now_s + 3.0)
        failed = [(d.instance, d.code) for d in deliveries if not d.answered]
        assert not failed, f"not served after recovery: {failed}"


RUNS = SeededRuns("tests.engine.random_run", lambda seed: Schedule(seed).run())


def main():
    """Run schedules and count failures and answers."""
    args = parser_of(__doc__, 20).parse_args()
    schedules = RUNS.check_each(args)
    deliveries = (d for s in schedules for d in s.deployment.callers.deliveries)
    print(dict(collections.Counter(d.code for d in deliveries)))
    return len(schedules) < args.schedules


if __name__ == "__main__":
    raise SystemExit(main())
