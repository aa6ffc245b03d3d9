"""The command ``toucanrudder``."""

import sys

import fire

import toucanrudder
from toucanrudder import errors
from toucanrudder.standins import engine
from toucanrudder.standins import platform
from toucanrudder.standins import service

EXIT_MISTAKE = 2


class StandIns:
    """Stand-ins for what surrounds the routers, for tests and trials."""

    platform = staticmethod(platform.main)
    engine = staticmethod(engine.main)
    service = staticmethod(service.main)


class Commands:
    """Router for language-model traffic with long shared prompts."""

    standin = StandIns

    def version(self) -> str:
        """Print the version."""
        return toucanrudder.__version__


def main() -> None:
    """Run the command line; exit 2 on a user's mistake."""
    try:
        fire.Fire(Commands, name="toucanrudder")
    except errors.RudderError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_MISTAKE)
