"""Entry point of ``python -m toucanrudder``."""

from toucanrudder.cli import main

if __name__ == "__main__":
    main.main()
