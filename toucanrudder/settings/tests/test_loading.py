import pytest

from toucanrudder import errors
from toucanrudder import settings

VALID = """
[router]
name = r1
zone = z1
fleet_key = 0123456789abcdef
[store]
address = 127.0.0.1:1
"""

CASES = [
    ("[rooter]\nname = r1\n", "unknown section [rooter]"),
    (VALID + "timeout = 3\n", "unknown option timeout in [store]"),
    (VALID + "timeout_s = soon\n", "timeout_s"),
    (VALID + "timeout_s = 9000\n", "timeout_s"),
    (VALID.replace("zone = z1\n", ""), "zone"),
    (VALID.replace("name = r1", "name r1"), "parsing"),
    (VALID.replace("0123456789abcdef", "short"), "fleet_key"),
]


def test_values_and_defaults_are_loaded(tmp_path):
    path = tmp_path / "router.ini"
    path.write_text(VALID)
    conf = settings.load(str(path))
    assert conf.router.name == "r1"
    assert conf.store.timeout_s == 1.0


@pytest.mark.parametrize(("text", "reported"), CASES)
def test_an_invalid_file_is_refused_by_name(tmp_path, text, reported):
    path = tmp_path / "router.ini"
    path.write_text(text)
    with pytest.raises(errors.RudderError) as caught:
        settings.load(str(path))
    assert caught.value.code is errors.Code.SETTINGS_INVALID
    assert str(path) in str(caught.value)
    assert reported in str(caught.value)
