"""Validation of untrusted values, and their conversion to typed records.

An entry of another writer, or of a newer version, may lack a field or hold
one of another type.  A string in place of a number would get into the tables
and fail far from its origin, or end the task that watches the registry.
Each object is therefore checked as a whole before any part of it is used, so
that a malformed object affects only itself.
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

#: Largest accepted magnitude of a number: what fits into 63 bits.
_MAX_MAGNITUDE = 2**63 - 1

#: Longest name of an object that goes into a header.
MAX_NAME_CHARACTERS = 255

Made = typing.TypeVar("Made")


def _integer(value: object, _: type) -> int:
    # A bool is an int in Python, but not a number on the wire.
    if (
        type(value) is not int
        or not -_MAX_MAGNITUDE <= value <= _MAX_MAGNITUDE
    ):
        raise ValueError("not an integer")
    return value


def _number(value: object, _: type) -> float:
    if type(value) not in (int, float) or not abs(value) <= _MAX_MAGNITUDE:
        raise ValueError("not a number")
    return float(value)


def _string(value: object, _: type) -> str:
    if type(value) is not str:
        raise ValueError("not a string")
    # A string that cannot be encoded would fail when written to a socket.
    value.encode()
    return value


def _boolean(value: object, _: type) -> bool:
    if type(value) is not bool:
        raise ValueError("not a boolean")
    return value


@functools.cache
def _converter() -> cattrs.Converter:
    # Without detailed validation only the first fault is named, at half the
    # memory.
    converter = cattrs.Converter(detailed_validation=False)
    converter.register_structure_hook(int, _integer)
    converter.register_structure_hook(float, _number)
    converter.register_structure_hook(str, _string)
    converter.register_structure_hook(bool, _boolean)
    converter.register_structure_hook_factory(
        attrs.has, lambda record_type: _record_hook(record_type, converter)
    )
    return converter


#: Overrides for fields that have another name or unit on the wire, by class.
_WIRE_FIELDS: dict[type, dict[str, gen.AttributeOverride]] = {}


def set_wire_fields(
    record_type: type, **fields: gen.AttributeOverride
) -> None:
    """Set the wire names and units of a class's fields, before any `read`."""
    _WIRE_FIELDS[record_type] = fields


def wire_field(
    wire_name: str, factor: float | None = None
) -> gen.AttributeOverride:
    """Return the override for one field.

    Parameters
    ----------
    wire_name : str
        Name of the field on the wire.
    factor : float or None
        Factor that converts a number from the unit on the wire.
    """
    if factor is None:
        return gen.override(rename=wire_name)
    return gen.override(
        rename=wire_name,
        struct_hook=lambda value, record_type: (
            factor * _number(value, record_type)
        ),
    )


def own_field(
    read_value: Callable[[object], typing.Any],
) -> gen.AttributeOverride:
    """Return the override for a field with a reader of its own."""
    return gen.override(struct_hook=lambda value, _: read_value(value))


def texts_of(value: object) -> frozenset[str]:
    """Return the texts of a list that are not empty; all else is left out.

    Examples
    --------
    >>> texts_of(["a", "", None, 7]), texts_of(None)
    (frozenset({'a'}), frozenset())
    """
    items = value if isinstance(value, list) else ()
    return frozenset(item for item in items if item and type(item) is str)


def _record_hook(record_type: type, converter: cattrs.Converter) -> Callable:
    """Return a structure hook that accepts only a dict for the record.

    If all fields have defaults, a string or a list would pass as a record.
    """
    structure_dict = gen.make_dict_structure_fn(
        record_type, converter, **_WIRE_FIELDS.get(record_type, {})
    )

    def structure(value: object, _: type) -> object:
        if not isinstance(value, dict):
            raise ValueError(f"{record_type.__name__} is not an object")
        return structure_dict(value, record_type)

    return structure


def read(record_type: type[Made], value: object, source: str) -> Made:
    """Convert a parsed value to a record.

    Parameters
    ----------
    record_type : type
        attrs class whose fields define types and bounds.
    value : object
        Value parsed from the wire.
    source : str
        Origin of the value, for the error.

    Raises
    ------
    MalformedObject
        The value is not a valid record.

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
    "Weights cannot be read: ValueError('not an integer')"
    """
    try:
        return _converter().structure(value, record_type)
    except interface.MalformedObject:
        raise
    # An untrusted value can make the checks fail with any exception.
    except Exception as error:
        reason = f"{record_type.__name__} cannot be read: {error!r}"
        raise interface.MalformedObject(source, reason) from error


def validator(
    is_valid: Callable[[typing.Any], bool], message: str
) -> Callable:
    """Return an attrs validator that fails with the message."""

    def check(instance, attribute, value) -> None:
        if not is_valid(value):
            raise ValueError(f"{attribute.name}: {message}")

    return check


def rows_of(*types: type) -> Callable:
    """Return an attrs validator of a list of rows with these column types.

    For thousands of rows, one record per row takes ten times as long.
    """
    expected = list(types)

    def check(instance, attribute, value) -> None:
        for row in value:
            if type(row) is not list or list(map(type, row)) != expected:
                raise ValueError(
                    f"{attribute.name}: {row!r} is not a valid row"
                )

    return check


def _is_address(value: str) -> bool:
    ip = addresses.ip_of(value)
    is_v4 = isinstance(ip, ipaddress.IPv4Address)
    # An address in brackets would be resolved as a host name on connecting.
    return is_v4 and value.startswith(str(ip))


def _is_header_value(value: str) -> bool:
    """Return whether a string is allowed as a header value."""
    return bool(value) and value.isprintable() and value.isascii()


def header_name(name: str, source: str) -> str:
    """Return a name that goes into a header.

    Raises
    ------
    MalformedObject
        It is too long, or no header may hold it.
    """
    if len(name) > MAX_NAME_CHARACTERS or not _is_header_value(name):
        raise interface.MalformedObject(source, "not a name for a header")
    return name


#: ``IP:port``, or None.
ADDRESS = attrs.validators.optional(validator(_is_address, "not an IP:port"))
#: Non-empty printable ASCII, as allowed in a header.
HEADER_VALUE = validator(_is_header_value, "not a header value")
POSITIVE = attrs.validators.gt(0)
#: Positive number of items that one process has; the limit is more than a
#: hundred times what the largest engines run at once.
COUNT = attrs.validators.and_(POSITIVE, attrs.validators.le(65_536))
NOT_NEGATIVE = attrs.validators.ge(0)
