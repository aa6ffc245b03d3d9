"""Set-up of log output as text or JSON."""

import logging
import sys

from pythonjsonlogger import json as json_formatter

FIELDS = (
    "asctime",
    "levelname",
    "name",
    "message",
    "request_id",
    "organisation",
    "step",
    "peer",
    "code",
)


def set_up(form: str, level: str) -> None:
    """Send the root logger's records to standard error.

    Parameters
    ----------
    form : {'json', 'text'}
        Form of each line.
    level : str
        Least severe level that is logged, in lower case.
    """
    handler = logging.StreamHandler(sys.stderr)
    if form == "json":
        handler.setFormatter(
            json_formatter.JsonFormatter(
                " ".join(f"%({field})s" for field in FIELDS)
            )
        )
    else:
        handler.setFormatter(
            logging.Formatter("%(asctime)s %(levelname)s %(name)s %(message)s")
        )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    # aiohttp's access log holds the query string, which may hold prompt text.
    logging.getLogger("aiohttp.access").setLevel(logging.ERROR)
