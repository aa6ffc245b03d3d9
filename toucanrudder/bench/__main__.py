"""Command line of the policy bench."""

import fire

from toucanrudder.bench import command

if __name__ == "__main__":
    fire.Fire(command.main)
