"""Commands that compare the router with others."""

from toucanrudder.cli import exits


class Benches:
    """Measure the router against baselines, with stand-ins on loopback."""

    def policy(self, **options: object) -> exits.Exit:
        """Compare placement policies; options as of `make bench`.

        Example: toucanrudder bench policy --short --seeds=1 --out=bench.json
        """
        from toucanrudder.bench import command

        command.main(**options)
        return exits.Exit.DONE

    def relay(self, out: str = "") -> exits.Exit:
        """Compare no relay, a bare relay and the router.

        Example: toucanrudder bench relay --out=relay.json
        """
        from toucanrudder.bench.relay import run

        run.main(out=str(out))
        return exits.Exit.DONE
