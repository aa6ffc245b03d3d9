from toucanrudder.quarantine import entry
from toucanrudder.quarantine import log as entry_logs
from toucanrudder.quarantine import suspects

NOW_S = 100.0
ONE, OTHER = 7, 8
NO_LIMIT = 10_000


def crash(name, at_s=NOW_S, sequence=0):
    return entry.Entry(
        entry.Kind.CRASH, name, at_s, "e", "i", sequence=sequence
    )


def merged(*batches):
    """Return a tracker that has merged entries, each with their source."""
    tracker = suspects.SuspectTracker()
    for source, entries in batches:
        tracker.merge(entries, NOW_S, source)
    return tracker


def names(extract):
    return [each.fingerprint for each in extract.entries]


def test_entries_come_once_and_in_the_order_in_which_they_were_learned():
    log = merged((None, [crash("a"), crash("b", sequence=1)])).log(NOW_S)
    first = log.after(0, ONE, NO_LIMIT)
    # Entries of parts are merged after those of requests.
    assert names(first) == ["a", "b"]
    assert names(log.after(first.position, ONE, NO_LIMIT)) == []


def test_capped_extract_leaves_no_entry_out():
    log = merged((None, [crash(f"r{n}") for n in range(10)])).log(NOW_S)
    position, found = 0, []
    for _ in range(4):
        extract = log.after(position, ONE, 3)
        position = extract.position
        found += names(extract)
    assert found == [f"r{n}" for n in range(10)]
    assert position == log.position


def test_entry_is_not_sent_to_a_peer_that_has_sent_it():
    log = merged((ONE, [crash("a")]), (OTHER, [crash("a")])).log(NOW_S)
    assert names(log.after(0, ONE, NO_LIMIT)) == []
    assert names(log.after(0, OTHER, NO_LIMIT)) == []
    assert names(log.after(0, OTHER + 1, NO_LIMIT)) == ["a"]
    assert log.after(0, ONE, NO_LIMIT).position == log.position


def test_entry_that_differs_from_what_a_peer_has_sent_is_sent_to_it():
    earlier, later = crash("a", NOW_S - 1), crash("a", NOW_S)
    log = merged((ONE, [later]), (OTHER, [earlier])).log(NOW_S)
    assert log.after(0, ONE, NO_LIMIT).entries == (earlier,)
    assert log.after(0, OTHER, NO_LIMIT).entries == ()
    # What is known already does not make the sender a holder of more.
    log = merged((ONE, [earlier]), (OTHER, [later])).log(NOW_S)
    assert log.after(0, OTHER, NO_LIMIT).entries == (earlier,)


def test_entry_that_changes_is_sent_again():
    tracker = merged((None, [crash("p", sequence=1)]))
    log = tracker.log(NOW_S)
    position = log.position
    tracker.merge([crash("p", sequence=2)], NOW_S, ONE)
    assert names(log.after(position, OTHER, NO_LIMIT)) == ["p"]
    assert len(log) == 1


def test_later_clearance_of_a_part_reaches_peers():
    def cleared(at_s):
        return entry.Entry(entry.Kind.CLEARED, "p", at_s, sequence=2)

    tracker = merged((None, [cleared(NOW_S)]))
    log = tracker.log(NOW_S)
    position = log.position
    assert not tracker.merge([cleared(NOW_S + 5)], NOW_S, ONE)
    sent = log.after(position, OTHER, NO_LIMIT).entries
    assert sent == (cleared(NOW_S + 5),)


def test_only_own_entries_are_told():
    tracker = merged((ONE, [crash("a")]), (None, [crash("b")]))
    log = tracker.log(NOW_S)
    told = log.own_after(0, NO_LIMIT)
    assert names(told) == ["b"]
    tracker.merge([crash("c")], NOW_S, ONE)
    assert log.own_after(told.position, NO_LIMIT).entries == ()


def test_entries_that_expire_or_are_evicted_leave_the_log():
    tracker = suspects.SuspectTracker(expiry_s=10.0, max_entries=3)
    tracker.merge([crash(f"r{n}", NOW_S + n) for n in range(5)], NOW_S)
    assert names(tracker.log(NOW_S).after(0, ONE, 9)) == ["r2", "r3", "r4"]
    assert len(tracker.log(NOW_S + 20)) == 0


def test_holders_of_an_entry_are_bounded():
    log = merged(*((peer, [crash("a")]) for peer in range(99))).log(NOW_S)
    kept = [peer for peer in range(99) if not log.after(0, peer, 1).entries]
    assert kept == list(range(entry_logs.MAX_HOLDERS))
