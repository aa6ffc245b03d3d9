"""The commands; each imports what it needs, so that others start quickly."""

import pathlib

from fire import decorators

import toucanrudder
from toucanrudder.cli import benches
from toucanrudder.cli import configuration
from toucanrudder.cli import exits
from toucanrudder.cli import output
from toucanrudder.cli import standins

# fire reads words that look like numbers as numbers; a fingerprint such as
# 12e45 would become another one, and the release would miss its target.
_AS_TEXT = decorators.SetParseFns(
    settings=str,
    request_id=str,
    upstream=str,
    fingerprint=str,
    admin=str,
    token_file=str,
    out=str,
    folder=str,
)


class Commands:
    """Router for language-model traffic with long shared prompts.

    Exit codes: 0 done, 1 failed, 2 mistake in the input, 3 another
    operator's change came first, 4 not available now, 5 outcome unknown.
    """

    def __init__(self) -> None:
        self.config = configuration.Configuration()
        self.standin = standins.Standins()
        self.bench = benches.Benches()

    def version(self) -> exits.Exit:
        """Print the version.

        Example: toucanrudder version
        """
        print(toucanrudder.__version__)
        return exits.Exit.DONE

    @_AS_TEXT
    def router(self, settings: str) -> exits.Exit:
        """Run a router in the foreground until SIGTERM or SIGINT.

        Prints one JSON line once it serves.

        Example: toucanrudder router /etc/toucanrudder/router.ini
        """
        from toucanrudder.router import daemon

        daemon.run(settings)
        return exits.Exit.DONE

    @_AS_TEXT
    def explain(self, request_id: str, *files: str) -> exits.Exit:
        """Print one request's way from collected log lines of routers.

        Example: toucanrudder explain 9c41d07be2a35f68 router-*.log
        """
        from toucanrudder.cli import explain

        lines = explain.lines_of(map(pathlib.Path, files), request_id)
        for line in lines:
            print(line.text())
        return exits.Exit.DONE if lines else exits.Exit.FAILED

    @_AS_TEXT
    def summary(self, *files: str) -> exits.Exit:
        """Print why requests were late or lost, from collected log lines.

        Example: toucanrudder summary router-*.log
        """
        from toucanrudder.cli import summary

        text = summary.text(map(pathlib.Path, files))
        print(text)
        return exits.Exit.DONE if text else exits.Exit.FAILED

    @_AS_TEXT
    def check(self, settings: str, json: bool = False) -> exits.Exit:
        """Check a settings file, and the files it names, before a start.

        Example: toucanrudder check /etc/toucanrudder/router.ini
        Exits with 2 when the router would not start with it.
        """
        from toucanrudder.cli import checks

        found = checks.check_settings(settings)
        if json:
            output.emit_json(found)
            return exits.Exit.DONE
        for warning in found["warnings"]:
            output.complain(f"warning: {warning}")
        print(f"{settings}: valid, router {found['name']}")
        return exits.Exit.DONE

    @_AS_TEXT
    def status(
        self,
        json: bool = False,
        admin: str | None = None,
        token_file: str | None = None,
    ) -> exits.Exit:
        """Show routers, upstreams, leases, quarantine and unknown outcomes.

        Example: toucanrudder status --admin http://10.0.0.4:8081
        """
        from toucanrudder.cli import client
        from toucanrudder.cli import statuspage

        answer = client.call(
            client.target(admin, token_file), "GET", "/status"
        )
        if json:
            output.emit_json(answer)
        else:
            print(statuspage.text(answer))
        return exits.Exit.DONE

    @_AS_TEXT
    def drain(
        self,
        upstream: str,
        json: bool = False,
        admin: str | None = None,
        token_file: str | None = None,
    ) -> exits.Exit:
        """Give an upstream no new work; its running work ends by itself.

        Example: toucanrudder drain celbouw-llm-2
        """
        return self._set_drained(upstream, "drain", json, admin, token_file)

    @_AS_TEXT
    def undrain(
        self,
        upstream: str,
        json: bool = False,
        admin: str | None = None,
        token_file: str | None = None,
    ) -> exits.Exit:
        """Take a drained upstream back into use.

        Example: toucanrudder undrain celbouw-llm-2
        """
        return self._set_drained(upstream, "undrain", json, admin, token_file)

    @_AS_TEXT
    def release(
        self,
        fingerprint: str,
        admin: str | None = None,
        token_file: str | None = None,
    ) -> exits.Exit:
        """End the quarantine of a request, by its fingerprint in `status`.

        Example: toucanrudder release 5f0c…
        """
        from toucanrudder.cli import client

        where = client.target(admin, token_file)
        client.call(where, "DELETE", f"/quarantine/{fingerprint}")
        print(f"{fingerprint} released")
        return exits.Exit.DONE

    def demo(self, serve: bool = False) -> exits.Exit:
        """Run a whole small system on loopback and print what happened.

        With --serve it stays up until SIGINT or SIGTERM and prints first
        one JSON line with addresses and keys.

        Example: toucanrudder demo --serve
        """
        from toucanrudder.demo import run

        return exits.Exit(int(run.main(serve=serve) or 0))

    @_AS_TEXT
    def soak(
        self,
        seed: int = 0,
        seeds: int = 1,
        length_s: float = 20.0,
        routers: int = 4,
        engines: int = 4,
        callers: int = 12,
        faults_a_second: float = 0.8,
        folder: str = "",
    ) -> exits.Exit:
        """Soak real routers in random faults; print broken promises.

        The same seed draws the same faults; 0 draws a fresh one.  Logs of
        the routers are left in the folder, if one is given.

        Example: toucanrudder soak --seed=1 --seeds=5 --folder=soak-out
        """
        from toucanrudder.cli import soaks
        from toucanrudder.soak import runs

        size = runs.Size(
            length_s=length_s,
            routers=routers,
            engines=engines,
            callers=callers,
            faults_a_second=faults_a_second,
        )
        return soaks.soak(seed, seeds, size, folder)

    @_AS_TEXT
    def capacity(self, *names: str, out: str = "docs/capacity") -> exits.Exit:
        """Measure how costs grow with size; write a record of each run.

        Example: toucanrudder capacity beliefs documents
        """
        from toucanrudder.cli import capacity

        return capacity.measure(tuple(map(str, names)), out)

    def _set_drained(
        self,
        upstream: str,
        verb: str,
        json: bool,
        admin: str | None,
        token_file: str | None,
    ) -> exits.Exit:
        from toucanrudder.cli import client

        where = client.target(admin, token_file)
        answer = configuration.set_drained(where, upstream, verb)
        if json:
            output.emit_json(answer)
        else:
            print(
                f"{upstream}: {verb}ed, generation {answer['generation']} "
                "is in force"
            )
        return exits.Exit.DONE
