"""Commands that run stand-ins as processes of their own."""

import importlib

from toucanrudder import errors
from toucanrudder.cli import exits


def _run(kind: str, options: dict) -> exits.Exit:
    module = importlib.import_module(f"toucanrudder.standins.{kind}")
    try:
        module.main(**options)
    except TypeError as error:
        # The options go through to the stand-in's class.  A misspelt one
        # is the user's mistake; any other TypeError is a fault of ours.
        if "unexpected keyword" not in str(error):
            raise
        raise errors.RudderError(
            errors.Code.INVALID_REQUEST, str(error), step="command"
        ) from error
    return exits.Exit.DONE


class Standins:
    """Run a stand-in until SIGTERM; it prints a JSON line when it serves.

    Options are those of the stand-in's class, besides --host and --port.
    """

    def platform(self, **options: object) -> exits.Exit:
        """Run the platform: objects, instance list and weight store.

        Example: toucanrudder standin platform --port 7000
        """
        return _run("platform", options)

    def engine(self, **options: object) -> exits.Exit:
        """Run a model engine.

        Example: toucanrudder standin engine --name e1 --port 7100
        """
        return _run("engine", options)

    def service(self, **options: object) -> exits.Exit:
        """Run a plain service.

        Example: toucanrudder standin service --name s1 --port 7200
        """
        return _run("service", options)
