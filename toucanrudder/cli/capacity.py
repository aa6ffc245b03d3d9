"""The command that measures slopes for docs/CAPACITY.md."""

import pathlib

from toucanrudder import errors
from toucanrudder.cli import exits


def measure(names: tuple[str, ...], out: str) -> exits.Exit:
    """Take measurements and keep their records.

    Parameters
    ----------
    names : tuple of str
        Measurements; empty for all.
    out : str
        Directory of the records.
    """
    from toucanrudder.bench.capacity import measurements
    from toucanrudder.bench.capacity import records

    known = measurements.MEASUREMENTS
    for name in names:
        if name not in known:
            raise errors.RudderError(
                errors.Code.NOT_FOUND,
                f"no measurement {name}; there are {', '.join(known)}",
                step="command",
            )
    for name in names or known:
        record = measurements.take(known[name])
        print(records.save(record, pathlib.Path(out)))
        for quantity, unit in record.units.items():
            line = record.fit(quantity)
            print(
                f"  {quantity}: {line.slope:.3g} ± {line.slope_error:.2g} "
                f"{unit} each, {line.intercept:.3g} fixed, worst "
                f"{line.worst:.0%}"
            )
    return exits.Exit.DONE
