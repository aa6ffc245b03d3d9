"""Upstreams that restart under the same name."""

import attrs
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from toucanrudder.forwarding import cache
from toucanrudder.forwarding import model
from toucanrudder.forwarding import registry
from toucanrudder.forwarding import rollout
from toucanrudder.forwarding import upstream_states

NAMES = strategies.sampled_from(["i1", "i2", "i3"])
PARTS = (model.Part("a", 100),)


def make_start(name, started_at_ms, version=1, leaving=False):
    return model.Upstream(
        f"{name}@{started_at_ms}",
        "s",
        f"10.0.0.{name[1:]}:80",
        is_leaving=leaving,
        weights={"m": version},
        name=name,
        started_at_ms=started_at_ms,
    )


@hypothesis.settings(
    derandomize=True, max_examples=200, stateful_step_count=40, deadline=None
)
class Restarts(stateful.RuleBasedStateMachine):
    """Restarts of processes while messages about earlier starts arrive late.

    Entries, removals, answers, reports, cache events and peers' messages
    about any start arrive in any order, also around an outage of the
    registry.  For each name only the newest known start may be in use,
    without any state of an earlier one.
    """

    def __init__(self):
        super().__init__()
        self.now_s = 100.0
        self.registry = registry.Registry()
        self.cache = cache.CacheIndex()
        self.upstream_states = upstream_states.UpstreamStates()
        self.started_at_ms = {"i1": 1, "i2": 1, "i3": 1}
        self.newest_ms = dict.fromkeys(self.started_at_ms, 0)
        self.leaving: set[str] = set()
        self.versions: dict[str, int] = {}
        self.cached: set[str] = set()
        self.failed: set[str] = set()

    def recent_start(self, name, starts_back):
        return make_start(name, max(1, self.started_at_ms[name] - starts_back))

    def retain_known(self):
        self.upstream_states.retain(self.registry.incarnations)
        self.cache.retain(dict.fromkeys(self.registry.incarnations, 0))
        self.cached &= self.registry.incarnations
        self.failed &= self.registry.incarnations

    @stateful.rule(name=NAMES)
    def restart(self, name):
        self.started_at_ms[name] += 1

    @stateful.rule(
        name=NAMES,
        starts_back=strategies.integers(0, 2),
        version=strategies.integers(1, 3),
        leaving=strategies.booleans(),
    )
    def register(self, name, starts_back, version, leaving):
        entry = attrs.evolve(
            self.recent_start(name, starts_back),
            weights={"m": version},
            is_leaving=leaving,
        )
        self.record_entry(entry)
        self.registry.put(entry)
        self.retain_known()

    def record_entry(self, entry):
        if entry.started_at_ms < self.newest_ms[entry.name]:
            return
        self.newest_ms[entry.name] = entry.started_at_ms
        key = entry.incarnation
        version = entry.weights["m"]
        self.versions[key] = max(version, self.versions.get(key, 0))
        if entry.is_leaving:
            self.leaving.add(key)

    @stateful.rule(
        starts=strategies.dictionaries(NAMES, strategies.integers(0, 2))
    )
    def list_all(self, starts):
        entries = [
            self.recent_start(name, starts_back)
            for name, starts_back in starts.items()
        ]
        for entry in entries:
            self.record_entry(entry)
        self.registry.replace(entries, self.now_s)
        self.retain_known()

    @stateful.rule(name=NAMES, starts_back=strategies.integers(0, 2))
    def remove(self, name, starts_back):
        incarnation = self.recent_start(name, starts_back).incarnation
        self.registry.remove(incarnation, self.now_s)
        self.retain_known()

    @stateful.rule(name=NAMES, starts_back=strategies.integers(0, 2))
    def announce_leaving(self, name, starts_back):
        incarnation = self.recent_start(name, starts_back).incarnation
        if self.registry.mark_leaving(incarnation):
            self.leaving.add(incarnation)

    @stateful.rule(
        name=NAMES,
        starts_back=strategies.integers(0, 2),
        version=strategies.integers(1, 9),
    )
    def answer(self, name, starts_back, version):
        incarnation = self.recent_start(name, starts_back).incarnation
        self.registry.update_weights(incarnation, "m", version)
        if self.registry.get(incarnation):
            before = self.versions.get(incarnation, 0)
            self.versions[incarnation] = max(before, version)

    @stateful.rule(name=NAMES, starts_back=strategies.integers(0, 2))
    def prefill_part(self, name, starts_back):
        incarnation = self.recent_start(name, starts_back).incarnation
        self.cache.add_parts(incarnation, "1", PARTS)
        self.cached.add(incarnation)

    @stateful.rule(name=NAMES, starts_back=strategies.integers(0, 2))
    def fail(self, name, starts_back):
        incarnation = self.recent_start(name, starts_back).incarnation
        self.upstream_states.record_failure(incarnation, self.now_s)
        self.failed.add(incarnation)

    @stateful.rule()
    def registry_recovers(self):
        self.registry.mark_recovered(self.now_s)

    @stateful.rule(duration_s=strategies.sampled_from([0.5, 3.0]))
    def time_passes(self, duration_s):
        self.now_s += duration_s
        self.registry.expire_missing(self.now_s)
        self.retain_known()

    @stateful.invariant()
    def only_newest_starts_are_known(self):
        for name, newest_ms in self.newest_ms.items():
            known = self.registry.by_name(name)
            assert known is None or known.started_at_ms == newest_ms
        names = {each.partition("@")[0] for each in self.registry.incarnations}
        assert len(names) == len(self.registry.incarnations)

    @stateful.invariant()
    def no_state_of_another_start(self):
        for incarnation in self.registry.incarnations:
            known = self.registry.get(incarnation)
            assert not known.is_leaving or incarnation in self.leaving
            assert known.weights["m"] <= self.versions[incarnation]
            tokens = self.cache.cached_tokens(incarnation, "1", PARTS)
            assert not tokens or incarnation in self.cached
            failures = self.upstream_states.of(incarnation).failures_in_row
            assert not failures or incarnation in self.failed

    @stateful.invariant()
    def orders_go_to_known_upstreams(self):
        engines = self.registry.for_service("s")
        tasks = rollout.outstanding_tasks(engines, {"m": 9})
        ordered = {task.upstream.incarnation for task in tasks}
        assert ordered <= self.registry.incarnations


TestRestarts = Restarts.TestCase
