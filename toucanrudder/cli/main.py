"""The command ``toucanrudder``."""

import sys

import fire

import toucanrudder
from toucanrudder import errors

EXIT_MISTAKE = 2


class Commands:
    """Router for language-model traffic with long shared prompts."""

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
