"""Tests of the reading of KNOWN-RED.txt."""

from .conftest import list_known_red


def test_entries_begin_in_the_first_column():
    text = "caroblead/a_test.py::test_b[1], seed 3\n  seen: x::y\n\ncaroblead/c_test.py::d\n"
    assert list_known_red(text) == {"caroblead/a_test.py::test_b[1]", "caroblead/c_test.py::d"}
