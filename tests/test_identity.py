"""Canonical forms of host names and addresses, and the expansion of ranges in names."""

import re

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lapispick.fleet import identity, ranges
from lapispick.fleet.errors import HostNameError, HostRangeError
from tests.fleet_files import faults, hosts

HEAD = "host,group,amqp_host,amqp_port,amqp_queue,amqp_user\n"


@pytest.mark.parametrize(
    ("text", "canonical"),
    [
        ("DISP-07.Pipera.example.org.", "disp-07.pipera.example.org"),
        ("disp-07", "disp-07.pipera.example.org"),
        ("Bücher.example", "xn--bcher-kva.example"),
        ("b\u00fccher\u3002example", "xn--bcher-kva.example"),
        ("::ffff:10.0.0.1", "10.0.0.1"),
        ("0:0::1", "::1"),
        ("[::1]", "::1"),
        ("a_b.example.", "a_b.example"),
    ],
)
def test_spellings_of_a_host_have_one_canonical_form(text, canonical):
    assert identity.canonical_name(text, "pipera.example.org") == canonical
    assert identity.canonical_name(canonical, "pipera.example.org") == canonical


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ("", "empty"),
        (".", "empty"),
        ("a..b", "Empty"),
        ("-a", "hyphen"),
        ("1.2.3", "neither an IP address nor a valid host name"),
        ("fe80::1%eth0", "IPv6 zone"),
        ("a b", "U\\+0020"),
        ("x" * 64, "long"),
        ("a." * 127 + "toolong", "expected at most 253"),
    ],
)
def test_an_invalid_name_is_rejected_with_the_reason(text, reason):
    with pytest.raises(HostNameError, match=reason):
        identity.canonical_name(text)


@given(st.text(min_size=1, max_size=30))
def test_the_canonical_form_is_idempotent(text):
    try:
        canonical = identity.canonical_name(text, "x.example")
    except HostNameError:
        return
    assert identity.canonical_name(canonical, "x.example") == canonical


@pytest.mark.parametrize(
    ("text", "host", "port"),
    [
        ("b.example:5672", "b.example", 5672),
        ("[::1]:5671", "::1", 5671),
        ("::1", "::1", None),
        ("10.0.0.1:5", "10.0.0.1", 5),
        ("b.example", "b.example", None),
    ],
)
def test_an_endpoint_is_split_into_host_and_port(text, host, port):
    assert identity.parse_endpoint(text) == (host, port)


def test_a_port_out_of_range_is_rejected():
    with pytest.raises(HostNameError, match="has port 0; expected a port from 1 to 65535"):
        identity.parse_endpoint("b:0")


@pytest.mark.parametrize(
    ("text", "names"),
    [
        ("disp-[08:11].x", ["disp-08.x", "disp-09.x", "disp-10.x", "disp-11.x"]),
        ("d[0:6:3]", ["d0", "d3", "d6"]),
        ("b-[a:c]", ["b-a", "b-b", "b-c"]),
        ("r[1:2]-[x:y]", ["r1-x", "r1-y", "r2-x", "r2-y"]),
        ("[::1]", ["[::1]"]),
        ("plain", ["plain"]),
    ],
)
def test_ranges_are_expanded(text, names):
    assert ranges.expand(text, 100) == names


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ("d[3:1]", "ascending"),
        ("d[01:100]", "widths"),
        ("d[c:A]", "one case"),
        ("d[1:5:0]", "step"),
        ("d[1:200]", "too many names; expected at most 100"),
        ("d[1:x]", "not a valid range"),
        ("d[1:9]-[1:99]", "too many names; expected at most 100"),
        ("d[0:99999999999]", "too many numbers; expected at most 10000000"),
    ],
)
def test_ranges_that_cannot_be_expanded_are_rejected_with_the_reason(text, reason):
    with pytest.raises(HostRangeError, match=reason):
        ranges.expand(text, 100)


def test_one_host_under_many_spellings_is_one_host():
    text = HEAD + (
        "disp-07,shops,,,q1,\nDISP-07.pipera.example.org.,shops,,5672,q2,\n"
        "disp-07.pipera.example.org:5672,shops,::ffff:10.0.0.7,,q3,\n10.0.0.7,shops,,,q4,\n"
    )
    (host,) = hosts(text, "f.csv", domain="pipera.example.org").values()
    assert host.name == "disp-07.pipera.example.org"
    assert host.address == "10.0.0.7"
    assert host.port == 5672
    assert [item["amqp_queue"] for item in host.items] == ["q1", "q2", "q3", "q4"]
    assert len(host.spellings) == 4


@pytest.mark.parametrize(
    ("csv_row", "fault"),
    [
        ("B1.,shops,,5673,q2,", r"f\.csv:3:1: amqp_port: b1 has port 5673 here, but 5672 at f\.csv:2:1"),
        ("b1,shops,10.0.0.2,,q2,", r"f\.csv:3:1: host: b1 has address 10\.0\.0\.2 here, but 10\.0\.0\.1 at f\.csv:2"),
        ("b2,shops,10.0.0.1,,q2,other", r"f\.csv:3:6: amqp_user: b1 has 'other' here, but 'me' at f\.csv:2:6"),
        ("b1,shops,10.0.0.1,,q1,me", r"f\.csv:3:5: amqp_queue: duplicate name 'q1', first used at f\.csv:2:5"),
    ],
)
def test_contradicting_values_of_one_host_are_reported_with_both_locations(csv_row, fault):
    reported = faults(HEAD + "b1,shops,10.0.0.1,,q1,me\n" + csv_row + "\n", "f.csv")
    assert any(re.search(fault, text) for text in reported), reported


def test_one_address_with_several_vhosts_is_several_hosts():
    text = "host,amqp_host,amqp_vhost,amqp_queue\na,10.0.0.1,/,q\nb,10.0.0.1,/other,q\n"
    assert set(hosts(text, "f.csv")) == {"a", "b"}
