import pytest

from toucanrudder import errors
from toucanrudder import settings

GOOD = """
[router]
name = r1
zone = z1
fleet_key = 0123456789abcdef
[store]
address = 127.0.0.1:1
"""

CASES = [
    ("[rooter]\nname = r1\n", "unknown section [rooter]"),
    (GOOD + "timeout = 3\n", "unknown option timeout in [store]"),
    (GOOD + "timeout_s = soon\n", "timeout_s"),
    (GOOD + "timeout_s = 9000\n", "timeout_s"),
    (GOOD.replace("zone = z1\n", ""), "zone"),
    (GOOD.replace("name = r1", "name r1"), "parsing"),
    (GOOD.replace("0123456789abcdef", "short"), "fleet_key"),
]


def test_defaults_and_values(tmp_path):
    path = tmp_path / "router.ini"
    path.write_text(GOOD)
    conf = settings.load(str(path))
    assert conf.router.name == "r1"
    assert conf.store.timeout_s == 1.0


@pytest.mark.parametrize(("text", "named"), CASES)
def test_a_bad_file_is_refused_by_name(tmp_path, text, named):
    path = tmp_path / "router.ini"
    path.write_text(text)
    with pytest.raises(errors.RudderError) as caught:
        settings.load(str(path))
    assert caught.value.code is errors.Code.SETTINGS_INVALID
    assert str(path) in str(caught.value)
    assert named in str(caught.value)
