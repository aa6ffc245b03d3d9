"""Safeguards taken out one at a time, to see that the soak finds it.

Each mutant is a change of one place of the source.  It is played in a
copy of the tree, never in the tree itself.
"""

import pathlib
import shutil
import subprocess
import sys

import attrs

from toucanrudder.testing import processes


@attrs.frozen
class Mutant:
    """One safeguard that is taken out.

    Parameters
    ----------
    name : str
        What is missing then.
    path : str
        File, relative to the package.
    old, new : str
        Text that stands there once, and what replaces it.
    """

    name: str
    path: str
    old: str
    new: str


MUTANTS = (
    Mutant(
        "requests that may run once are sent again",
        "forwarding/attempts/retry_policy.py",
        "if progress.possible_runs and route.repetition is "
        "model.Repetition.ONCE:",
        "if False:",
    ),
    Mutant(
        "a lost answer is called not run",
        "forwarding/attempts/retry_policy.py",
        "    if progress.possible_runs:\n        code =",
        "    if False:\n        code =",
    ),
    Mutant(
        "a silent answer is given up for another attempt",
        "forwarding/attempts/silence.py",
        "        attempt.is_silent = True\n"
        "        attempt.execution.race.report_silence(attempt)\n",
        "        raise relaying.AttemptFailed("
        "retry_policy.FailureKind.SILENT)\n",
    ),
    Mutant(
        "a report that overtakes events ends their run",
        "forwarding/attempts/silence.py",
        "CONFIRMATION_S = 0.7",
        "CONFIRMATION_S = 0.0",
    ),
    Mutant(
        "a broken stream is ended as a whole one",
        "forwarding/forwarder.py",
        "            answer.abort()\n            return\n",
        "            await answer.end()\n            return\n",
    ),
    Mutant(
        "a stream goes on one event too early",
        "forwarding/attempts/attempt.py",
        "resume_after=self.execution.last_event_id,\n"
        "                fetch_from",
        "resume_after=self.execution.last_event_id and "
        "str(int(self.execution.last_event_id) - 1),\n"
        "                fetch_from",
    ),
    Mutant(
        "answers are not matched with requests",
        "forwarding/attempts/attempt.py",
        "        if not _matches_request(facts, reused=connection.reused):\n",
        "        if False:\n",
    ),
    Mutant(
        "a run is continued where no copy of it can be",
        "forwarding/attempts/retry_policy.py",
        "        return (\n"
        "            self.is_copy_requested\n"
        "            and self.events > 0\n"
        "            and self.can_resume\n"
        "            and self.streamed_s >= COPY_TRANSFER_S\n"
        "        )\n",
        "        return self.is_copy_requested\n",
    ),
    Mutant(
        "any process at the address will do",
        "platform/dialect.py",
        "                if value is not None\n",
        '                if value is not None and name[:3] != "Exp"\n',
    ),
    Mutant(
        "cache is kept without its weights' version",
        "forwarding/cache.py",
        "version = str(weights_version or 0)",
        'version = "0"',
    ),
    Mutant(
        "cache is kept without its wall",
        "forwarding/cache.py",
        'return f"{version}.{cache_scope}" if cache_scope else version',
        "return version",
    ),
    Mutant(
        "a leaving upstream still gets work",
        "forwarding/placing.py",
        "if not candidate.upstream.is_leaving\n",
        "if True\n",
    ),
    Mutant(
        "a planned stop waits for nobody",
        "forwarding/daemon.py",
        "        while clock.now_s() < end_s:\n",
        "        while False:\n",
    ),
    Mutant(
        "an older document is taken",
        "forwarding/state.py",
        "if candidate.generation <= self.generation:",
        "if False:",
    ),
    Mutant(
        "changes of the document are not followed",
        "controllers/feeds.py",
        "            self._callbacks.on_change(change, now_s)",
        '            if self.kind != "config":\n'
        "                self._callbacks.on_change(change, now_s)",
    ),
    Mutant(
        "usage caps are not kept",
        "forwarding/capping.py",
        "        if cap is None:\n            yield",
        "        if True:\n            yield",
    ),
    Mutant(
        "a broken stream goes on at any software",
        "forwarding/streams/origins.py",
        "            and upstream.software_version == self.software_version\n",
        "",
    ),
    Mutant(
        "a caller that returns is sent to any software",
        "forwarding/streams/resuming.py",
        "if call.resume_after is None or not route.is_stream:",
        "if True:",
    ),
    Mutant(
        "a poisonous request is not recognised",
        "forwarding/poison.py",
        "self.suspicions.has_crashes(fingerprint_, MAX_CRASHES, wall_s)",
        "False",
    ),
    Mutant(
        "parts of prompts are not held against crashes",
        "forwarding/screening.py",
        "return part is not None and not (",
        "return False and not (",
    ),
    Mutant(
        "retries cost nothing",
        "forwarding/execution.py",
        "        return self.has_reserved_retry\n",
        "        return True\n",
    ),
    Mutant(
        "rates that upstreams state are not kept to",
        "forwarding/statements/rate_limits.py",
        "        return statement and statement.current_rate_per_s(now_s)\n",
        "        return None\n",
    ),
    Mutant(
        "a leaving that answers state is not kept to",
        "forwarding/attempts/attempt.py",
        "            self.state.record_answered_leaving("
        "upstream.incarnation)\n",
        "            pass\n",
    ),
    Mutant(
        "upstreams do not get the rest that they ask for",
        "admission/rests.py",
        "        return rest.wait_s(now_s) if rest else 0.0\n",
        "        return 0.0\n",
    ),
    Mutant(
        "the watches of all routers end together",
        "forwarding/store_watch.py",
        "    return wait_s * (rank + 1) / watchers\n",
        "    return wait_s\n",
    ),
    Mutant(
        "a list is lost with an entry that is nested deeply",
        "http1/json_text.py",
        '_without_deep_values(content.decode(errors="replace"))',
        'content.decode(errors="replace")',
    ),
    Mutant(
        "news from before a standstill vouch for a version",
        "forwarding/streams/resuming.py",
        "if served is None or self._may_read_old_news(now_s):",
        "if served is None:",
    ),
    Mutant(
        "one peer at a time is asked for a document",
        "peers/documents.py",
        "MAX_FETCHES = 5",
        "MAX_FETCHES = 1",
    ),
    Mutant(
        "what callers hold is not bounded",
        "http1/account.py",
        "for revoked in revoked_for_memory(self._usages, excess_bytes):",
        "for revoked in ():",
    ),
    Mutant(
        "an open connection keeps its limit on heads",
        "http1/server.py",
        "max_incomplete_event_size=self._parsed_head_bytes\n",
        "max_incomplete_event_size=self.__dict__.setdefault(\n"
        '                "_first_bytes", self._parsed_head_bytes\n'
        "            )\n",
    ),
    Mutant(
        "keys that were taken away still hold",
        "forwarding/state.py",
        "        self._table = routing.RoutingTable(candidate)\n"
        "        return True\n",
        "        before = self._table\n"
        "        self._table = routing.RoutingTable(candidate)\n"
        "        if before:\n"
        "            self._table._by_key = before._by_key | "
        "self._table._by_key\n"
        "        return True\n",
    ),
    Mutant(
        "any three digits are a status",
        "http1/client.py",
        "MAX_STATUS = 599",
        "MAX_STATUS = 999",
    ),
    Mutant(
        "requests are taken late in a stop",
        "forwarding/late_requests.py",
        "        needs_s = max(needs_s, longest_s)\n",
        "",
    ),
    Mutant(
        "a heartbeat's weights are taken for the present",
        "forwarding/run_memory.py",
        "    if newest_version > version or not is_current:\n",
        "    if False:\n",
    ),
    Mutant(
        "a reset ends an answer without a length",
        "http1/client.py",
        "return sock is not None and sockets.was_reset(sock)",
        "return False",
    ),
    Mutant(
        "whole answers have no bound",
        "forwarding/attempts/relaying.py",
        "            if len(self._body) > MAX_BUFFERED_BYTES:\n",
        "            if False:\n",
    ),
    Mutant(
        "a broken connection ends its run",
        "forwarding/execution.py",
        "has_ended = await run_end.wait(self.can_continue_from_copy)",
        "has_ended = True",
    ),
    Mutant(
        "a connection that is reset counts as not reached",
        "http1/calls.py",
        "Failure.NO_ANSWER if error.has_reached else",
        "Failure.NO_ANSWER if error.sent else",
    ),
    Mutant(
        "history that is gone is not read anew",
        "controllers/feeds.py",
        "                self._position = None\n            except",
        "                pass\n            except",
    ),
)


def applied(mutant: Mutant, folder: pathlib.Path) -> pathlib.Path:
    """Return a copy of the tree without the safeguard.

    Raises
    ------
    ValueError
        The text does not stand there exactly once.
    """
    tree = folder / "tree"
    ignored = shutil.ignore_patterns("__pycache__", "tests")
    shutil.copytree(
        processes.ROOT / "toucanrudder", tree / "toucanrudder", ignore=ignored
    )
    path = tree / "toucanrudder" / mutant.path
    text = path.read_text(encoding="utf-8")
    if text.count(mutant.old) != 1:
        raise ValueError(f"{mutant.name}: its text is not there once")
    path.write_text(text.replace(mutant.old, mutant.new), encoding="utf-8")
    return tree


def killed_by(
    mutant: Mutant, folder: pathlib.Path, seeds: range, length_s: float
) -> tuple[int, str] | None:
    """Return the first seed that finds the mutant, and what it found."""
    tree = applied(mutant, folder)
    for seed in seeds:
        found = subprocess.run(
            [
                sys.executable,
                "-m",
                "toucanrudder",
                "soak",
                f"--seed={seed}",
                f"--length-s={length_s}",
            ],
            cwd=tree,
            capture_output=True,
            text=True,
            check=False,
        )
        broken = [
            line for line in found.stdout.splitlines() if ": " in line[:40]
        ]
        if found.returncode == 1 and broken:
            return seed, broken[0].strip()
    return None
