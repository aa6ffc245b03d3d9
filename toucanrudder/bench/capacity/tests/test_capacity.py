import pathlib

import pytest

from toucanrudder.bench.capacity import fits
from toucanrudder.bench.capacity import measurements
from toucanrudder.bench.capacity import page
from toucanrudder.bench.capacity import records

ROOT = pathlib.Path(__file__).parents[4]
RECORDS = ROOT / records.DIRECTORY
SMALL = 400
PURE = [
    name for name, each in measurements.MEASUREMENTS.items() if each.isolated
]


def test_a_line_is_found_again():
    line = fits.fit([1, 10, 100, 1000], [5, 32, 302, 3002])
    assert line.slope == pytest.approx(3, rel=1e-3)
    assert line.at(2000) == pytest.approx(6002, rel=1e-3)
    assert line.worst < 0.01
    curved = fits.fit([1, 10, 100], [1, 100, 10000])
    assert curved.worst > 0.01


@pytest.mark.parametrize("name", PURE)
def test_a_measurement_runs_and_is_kept(name, tmp_path):
    measurement = measurements.MEASUREMENTS[name]
    point = measurement.run(SMALL)
    assert set(point) == set(measurement.units)
    record = records.Record(
        name, "c", "t", {}, "s", measurement.units, [{"x": SMALL, **point}]
    )
    records.save(record, tmp_path)
    assert records.load(name, tmp_path) == record


def test_each_measurement_has_a_record():
    kept = {path.stem for path in RECORDS.glob("*.json")}
    assert kept == set(measurements.MEASUREMENTS)


def test_the_pages_tables_are_those_of_the_records():
    text = (ROOT / page.PAGE).read_text(encoding="utf-8")
    assert page.filled(text, RECORDS) == text
