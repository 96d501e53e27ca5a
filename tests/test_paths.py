"""Paths and addresses in settings, compared with the standard library's types for them."""

from ipaddress import ip_address
from pathlib import PurePosixPath

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lapispick.conf import paths, settings
from lapispick.host.addresses import parse_address

path_texts = st.text(alphabet="/.ab ", min_size=1, max_size=12)
address_texts = st.one_of(st.text(alphabet="0123456789.:af[]% ", max_size=16), st.ip_addresses().map(str))


@given(path_texts)
def test_paths_are_normalized_as_by_pathlib(path):
    assert paths.normalize(path) == str(PurePosixPath(path))


@given(path_texts, path_texts)
def test_a_relative_path_is_resolved_against_the_folder_of_the_file(file, path):
    folder = PurePosixPath(file).parent
    assert paths.relative_to_file(str(PurePosixPath(file)), path) == str(folder / path)


@given(address_texts)
def test_ip_addresses_are_parsed_as_by_ipaddress(host):
    try:
        expected = str(ip_address(host.strip("[]")))
    except ValueError:
        with pytest.raises(ValueError, match=r"\S"):
            parse_address(f"{host}:80")
    else:
        assert parse_address(f"{host}:80") == (expected, 80)


def test_a_pattern_includes_all_matching_files_in_the_order_of_their_names(tmp_path):
    for name in ("b.conf", "a.conf", ".hidden.conf", "a.txt"):
        (tmp_path / name).write_text(f"section amqp\n drain-timeout 1s # {name}\nend\n")
    names = [path for path, _ in settings._read_files(str(tmp_path / "*.conf"))]
    assert names == sorted(str(path) for path in tmp_path.glob("*.conf"))
    assert settings._read_files(str(tmp_path / "missing" / "*.conf")) == []
