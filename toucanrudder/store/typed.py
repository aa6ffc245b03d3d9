"""Values of unknown origin, read into typed records.

Failure: an entry comes from another writer, or from a newer version, and
lacks a field or holds one of another type.  Symptom: a text where a number
belongs gets into the tables and fails far away, or ends the task that
follows the registry.  Each object is checked here as a whole before
anything of it is used, so that a strange one costs itself alone.
"""

from collections.abc import Callable
import functools
import ipaddress
import typing

import attrs
import cattrs
from cattrs import gen

from toucanrudder import addresses
from toucanrudder.store import interface

#: Largest whole number that is believed: what fits 63 bits.
_MOST = 2**63 - 1

Made = typing.TypeVar("Made")


def _whole(value: object, _: type) -> int:
    # A truth value is an int in Python, but no number on the wire.
    if type(value) is not int or not -_MOST <= value <= _MOST:
        raise ValueError("not a whole number")
    return value


def _number(value: object, _: type) -> float:
    if type(value) not in (int, float) or not abs(value) <= _MOST:
        raise ValueError("not a number")
    return float(value)


def _text(value: object, _: type) -> str:
    if type(value) is not str:
        raise ValueError("not a text")
    # What cannot be encoded would fail when it is written to a socket.
    value.encode()
    return value


def _truth(value: object, _: type) -> bool:
    if type(value) is not bool:
        raise ValueError("neither true nor false")
    return value


@functools.cache
def _converter() -> cattrs.Converter:
    # The short validation names the first fault only, at half the memory.
    found = cattrs.Converter(detailed_validation=False)
    found.register_structure_hook(int, _whole)
    found.register_structure_hook(float, _number)
    found.register_structure_hook(str, _text)
    found.register_structure_hook(bool, _truth)
    found.register_structure_hook_factory(
        attrs.has, lambda made: _from_table(made, found)
    )
    return found


#: Fields that are called otherwise on the wire, by class; a pair's second
#: half turns their value into ours.
_WIRE_FIELDS: dict[type, dict[str, gen.AttributeOverride]] = {}


def set_wire_fields(made: type, **fields: gen.AttributeOverride) -> None:
    """Say how a class's fields are spelled; call it before `read`."""
    _WIRE_FIELDS[made] = fields


def wire_field(
    wire_name: str, factor: float | None = None
) -> gen.AttributeOverride:
    """Return how one field is spelled.

    Parameters
    ----------
    wire_name : str
        Its name on the wire.
    factor : float or None
        What a number there is multiplied with, for its unit.
    """
    if factor is None:
        return gen.override(rename=wire_name)
    return gen.override(
        rename=wire_name,
        struct_hook=lambda value, made: factor * _number(value, made),
    )


def _from_table(made: type, converter: cattrs.Converter) -> Callable:
    """Return what makes a record of a table, and of nothing else.

    Where all fields have defaults, a text or a list would pass for one.
    """
    make = gen.make_dict_structure_fn(
        made, converter, **_WIRE_FIELDS.get(made, {})
    )

    def structure(value: object, _: type) -> object:
        if not isinstance(value, dict):
            raise ValueError(f"{made.__name__} is no table")
        return make(value, made)

    return structure


def read(made: type[Made], value: object, source: str) -> Made:
    """Return the record that a value holds.

    Parameters
    ----------
    made : type
        An attrs class whose fields say types and bounds.
    value : object
        What was parsed from the wire.
    source : str
        Where it comes from, for the error.

    Raises
    ------
    MalformedObject
        The value holds no such record.

    Examples
    --------
    >>> @attrs.frozen
    ... class Weights:
    ...     version: int = attrs.field(validator=POSITIVE)
    >>> read(Weights, {"version": 3}, "store").version
    3
    >>> try:
    ...     read(Weights, {"version": "3"}, "store")
    ... except interface.MalformedObject as error:
    ...     error.reason
    "Weights cannot be read: ValueError('not a whole number')"
    """
    try:
        return _converter().structure(value, made)
    except interface.MalformedObject:
        raise
    # Whatever a record of unknown origin makes the checks fail with.
    except Exception as error:
        reason = f"{made.__name__} cannot be read: {error!r}"
        raise interface.MalformedObject(source, reason) from error


def validator(is_good: Callable[[typing.Any], bool], says: str) -> Callable:
    """Return a validator of a field that says what is wrong with it."""

    def check(instance, attribute, value) -> None:
        if not is_good(value):
            raise ValueError(f"{attribute.name}: {says}")

    return check


def rows_of(*types: type) -> Callable:
    """Return a validator of a list of lists, by the types in each.

    Where thousands come at once, a record of each takes ten times as long.
    """
    wanted = list(types)

    def check(instance, attribute, value) -> None:
        for row in value:
            if type(row) is not list or list(map(type, row)) != wanted:
                raise ValueError(f"{attribute.name}: {row!r} is no row")

    return check


def _is_address(value: str) -> bool:
    found = addresses.ip_of(value)
    is_v4 = isinstance(found, ipaddress.IPv4Address)
    # In brackets it would be taken for a name when it is connected to.
    return is_v4 and value.startswith(str(found))


def _is_word(value: str) -> bool:
    """Whether a text may stand in a header."""
    return bool(value) and value.isprintable() and value.isascii()


#: ``IP:port``, or None.
ADDRESS = attrs.validators.optional(validator(_is_address, "no IP:port"))
#: What may stand in a header.
HEADER_VALUE = validator(_is_word, "not a word")
POSITIVE = attrs.validators.gt(0)
#: How many things one process has: more than a hundred times what the
#: largest engines run at once.
COUNT = attrs.validators.and_(POSITIVE, attrs.validators.le(65_536))
NOT_NEGATIVE = attrs.validators.ge(0)
