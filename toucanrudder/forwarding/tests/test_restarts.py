"""Upstreams that start again under the name that they had."""

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


def start_of(name, born_ms, version=1, leaving=False):
    return model.Upstream(
        f"{name}@{born_ms}",
        "s",
        f"10.0.0.{name[1:]}:80",
        is_leaving=leaving,
        weights={"m": version},
        name=name,
        born_ms=born_ms,
    )


@hypothesis.settings(
    derandomize=True, max_examples=200, stateful_step_count=40, deadline=None
)
class Restarts(stateful.RuleBasedStateMachine):
    """Processes start again while words of earlier starts are on the way.

    Entries, removals, answers, reports, cache events and peers' words of
    any start arrive at any time, also after later ones and around an
    outage of the registry.  Of each name only the newest start that was
    told of may be used, with nothing that was said of an earlier one.
    """

    def __init__(self):
        super().__init__()
        self.now_s = 100.0
        self.registry = registry.Registry()
        self.cache = cache.CacheIndex()
        self.states = upstream_states.UpstreamStates()
        self.born_ms = {"i1": 1, "i2": 1, "i3": 1}
        self.told_ms = dict.fromkeys(self.born_ms, 0)
        self.left: set[str] = set()
        self.versions: dict[str, int] = {}
        self.has_read: set[str] = set()
        self.failed: set[str] = set()

    def some_start(self, name, back):
        return start_of(name, max(1, self.born_ms[name] - back))

    def keep(self):
        self.states.retain(self.registry.incarnations)
        self.cache.retain(dict.fromkeys(self.registry.incarnations, 0))
        self.has_read &= self.registry.incarnations
        self.failed &= self.registry.incarnations

    @stateful.rule(name=NAMES)
    def starts_again(self, name):
        self.born_ms[name] += 1

    @stateful.rule(
        name=NAMES,
        back=strategies.integers(0, 2),
        version=strategies.integers(1, 3),
        leaving=strategies.booleans(),
    )
    def registers(self, name, back, version, leaving):
        found = attrs.evolve(
            self.some_start(name, back),
            weights={"m": version},
            is_leaving=leaving,
        )
        self.note(found)
        self.registry.put(found)
        self.keep()

    def note(self, found):
        if found.born_ms < self.told_ms[found.name]:
            return
        self.told_ms[found.name] = found.born_ms
        key = found.incarnation
        version = found.weights["m"]
        self.versions[key] = max(version, self.versions.get(key, 0))
        if found.is_leaving:
            self.left.add(key)

    @stateful.rule(
        starts=strategies.dictionaries(NAMES, strategies.integers(0, 2))
    )
    def lists(self, starts):
        found = [self.some_start(name, back) for name, back in starts.items()]
        for each in found:
            self.note(each)
        self.registry.replace(found, self.now_s)
        self.keep()

    @stateful.rule(name=NAMES, back=strategies.integers(0, 2))
    def removed(self, name, back):
        gone = self.some_start(name, back).incarnation
        self.registry.remove(gone, self.now_s)
        self.keep()

    @stateful.rule(name=NAMES, back=strategies.integers(0, 2))
    def peers_say_it_leaves(self, name, back):
        incarnation = self.some_start(name, back).incarnation
        if self.registry.mark_leaving(incarnation):
            self.left.add(incarnation)

    @stateful.rule(
        name=NAMES,
        back=strategies.integers(0, 2),
        version=strategies.integers(1, 9),
    )
    def answers(self, name, back, version):
        incarnation = self.some_start(name, back).incarnation
        self.registry.update_weights(incarnation, "m", version)
        if self.registry.get(incarnation):
            before = self.versions.get(incarnation, 0)
            self.versions[incarnation] = max(before, version)

    @stateful.rule(name=NAMES, back=strategies.integers(0, 2))
    def reads_a_part(self, name, back):
        incarnation = self.some_start(name, back).incarnation
        self.cache.add_parts(incarnation, "1", PARTS)
        self.has_read.add(incarnation)

    @stateful.rule(name=NAMES, back=strategies.integers(0, 2))
    def fails(self, name, back):
        incarnation = self.some_start(name, back).incarnation
        self.states.record_failure(incarnation, self.now_s)
        self.failed.add(incarnation)

    @stateful.rule()
    def registry_is_back(self):
        self.registry.mark_recovered(self.now_s)

    @stateful.rule(seconds=strategies.sampled_from([0.5, 3.0]))
    def passes(self, seconds):
        self.now_s += seconds
        self.registry.expire_missing(self.now_s)
        self.keep()

    @stateful.invariant()
    def each_name_is_its_newest_start(self):
        for name, told_ms in self.told_ms.items():
            known = self.registry.by_name(name)
            assert known is None or known.born_ms == told_ms
        names = {each.partition("@")[0] for each in self.registry.incarnations}
        assert len(names) == len(self.registry.incarnations)

    @stateful.invariant()
    def nothing_is_said_of_another_start(self):
        for incarnation in self.registry.incarnations:
            known = self.registry.get(incarnation)
            assert not known.is_leaving or incarnation in self.left
            assert known.weights["m"] <= self.versions[incarnation]
            tokens = self.cache.cached_tokens(incarnation, "1", PARTS)
            assert not tokens or incarnation in self.has_read
            failures = self.states.of(incarnation).failures_in_row
            assert not failures or incarnation in self.failed

    @stateful.invariant()
    def orders_go_to_known_starts(self):
        engines = self.registry.for_service("s")
        tasks = rollout.outstanding_tasks(engines, {"m": 9})
        found = {each.upstream.incarnation for each in tasks}
        assert found <= self.registry.incarnations


TestRestarts = Restarts.TestCase
