"""The command line's calls of the admin API."""

import asyncio
import getpass
import os
import pathlib

import aiohttp
import attrs

from toucanrudder import errors

STEP = "command"
DEFAULT_ADDRESS = "http://127.0.0.1:8081"
ENV_ADDRESS = "TOUCANRUDDER_ADMIN"
ENV_TOKEN = "TOUCANRUDDER_TOKEN"
TIMEOUT_S = 30.0


class Refused(errors.RudderError):
    """An error that the router answered, with a document's problems."""

    problems: tuple[dict, ...] = ()


@attrs.frozen
class Target:
    """Which router's admin API to call, and with what token.

    Parameters
    ----------
    address : str
        Base URL.
    token : str
        Bearer token.
    """

    address: str
    token: str = attrs.field(repr=False)


def _operator() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ""


def target(admin: str | None, token_file: str | None) -> Target:
    """Return the target from options, else from the environment.

    The token is never an option: other users of the machine can read the
    options of a running process.
    """
    address = admin or os.environ.get(ENV_ADDRESS) or DEFAULT_ADDRESS
    token = os.environ.get(ENV_TOKEN, "")
    if token_file:
        try:
            token = pathlib.Path(token_file).read_text(encoding="utf-8")
        except OSError as error:
            raise errors.RudderError(
                errors.Code.NOT_FOUND, str(error), step=STEP
            ) from error
    return Target(str(address).rstrip("/"), token.strip())


def _refusal(body: object, status: int, address: str) -> errors.RudderError:
    error = body.get("error") if isinstance(body, dict) else None
    try:
        refused = Refused(
            errors.Code(error["code"]),
            error["message"],
            step=error["step"],
            peer=error["peer"] or address,
            retry_after_s=error.get("retry_after_s"),
        )
    except (KeyError, TypeError, ValueError):
        return errors.RudderError(
            errors.Code.UPSTREAM_FAILED,
            f"answer {status} that is not the admin API's",
            step=STEP,
            peer=address,
        )
    refused.problems = tuple(error.get("problems", ()))
    return refused


async def _call(
    where: Target, method: str, path: str, body: dict | None
) -> dict:
    headers = {
        "Authorization": f"Bearer {where.token}",
        "X-Operator": _operator(),
    }
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    async with (
        aiohttp.ClientSession(timeout=timeout) as session,
        session.request(
            method, where.address + path, json=body, headers=headers
        ) as answer,
    ):
        data = await answer.json(content_type=None)
        if answer.status >= 400:
            raise _refusal(data, answer.status, where.address)
        return data


def call(
    where: Target, method: str, path: str, body: dict | None = None
) -> dict:
    """Call the admin API and return its JSON answer.

    Parameters
    ----------
    where : Target
        Router to ask.
    method, path : str
        As in the API's description.
    body : dict, optional
        JSON body.

    Raises
    ------
    RudderError
        What the router answered; ``upstream_not_reached`` when nothing was
        sent, ``upstream_timeout`` when no answer came.
    """
    try:
        return asyncio.run(_call(where, method, path, body))
    except (aiohttp.ClientConnectorError, aiohttp.InvalidURL) as error:
        raise errors.RudderError(
            errors.Code.UPSTREAM_NOT_REACHED,
            f"{error}; is this the admin port?",
            step=STEP,
            peer=where.address,
        ) from error
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        raise errors.RudderError(
            errors.Code.UPSTREAM_TIMEOUT,
            f"no whole answer: {type(error).__name__}",
            step=STEP,
            peer=where.address,
            ran=errors.Ran.UNKNOWN,
        ) from error
