"""The list of worker hosts: its schema, its faults, and the commands on a list that brokers share."""

import json

import pytest
from click.testing import CliRunner

from lapispick.cli.main import cli
from lapispick.conf import settings as conf
from lapispick.file_errors import InvalidFileError
from lapispick.fleet import hosts
from lapispick.fleet.hosts import SCHEMA, Worker
from tests.fleet_files import faults
from tests.fleet_files import hosts as inventory_hosts

LIST = """
dispatch:
  vars: {lapispick_ops: 9100, lapispick_agent: 9200, zone: not ours}
  children:
    pipera:
      vars: {lapispick_zone: pipera}
      hosts:
        disp-[06:07].pipera.example.org: {lapispick_machine: old-box, lapispick_domain: rack-2}
    berceni:
      hosts:
        disp-01.berceni.example.org: {ansible_host: 10.0.0.4, lapispick_port: 8444, lapispick_zone: berceni,
                                      lapispick_weight: 2, lapispick_ops: "10.1.0.4:9101"}
shops:
  hosts:
    broker-a: {amqp_queues: [jobs]}
"""


def made(text, **over):
    return hosts.workers(inventory_hosts(text, group="dispatch", schema=SCHEMA, **over).values())


def test_a_host_is_read_with_its_addresses_place_and_weight():
    found, wrong = made(LIST)
    assert not wrong
    assert len(found) == 3
    assert found[0] == Worker(
        "disp-01.berceni.example.org", "10.0.0.4:8444", "10.1.0.4:9101", "10.0.0.4:9200", "berceni", "", "", 2.0
    )
    name = "disp-06.pipera.example.org"
    assert found[1] == Worker(name, f"{name}:8443", f"{name}:9100", f"{name}:9200", "pipera", "rack-2", "old-box", 1.0)
    assert found[1].kind == ("pipera", "old-box")
    assert found[1].failure_domain == ("pipera", "rack-2")


def test_one_worker_host_under_two_spellings_is_one():
    twice = LIST.replace(
        "hosts:\n        disp-[06:07].pipera.example.org:",
        "hosts:\n        DISP-06.Pipera.example.org.: {}\n        disp-[06:07].pipera.example.org:",
    )
    found, wrong = made(twice)
    assert not wrong
    assert len(found) == 3


@pytest.mark.parametrize(
    ("row", "fault"),
    [
        ("a: {lapispick_opps: 9}", "unknown variable; did you mean lapispick_ops?"),
        ("a: {lapispick_weight: 0}", "lapispick_weight: 0 is not a number from 0.001 to 1000"),
        ("a: {lapispick_port: 0}", "lapispick_port: 0 is not a whole number from 1 to 65535"),
        ("a: {amqp_port: none of ours}", ""),
    ],
)
def test_faults_name_the_variable_and_what_is_wanted(row, fault):
    found = faults("dispatch:\n  hosts:\n    " + row, group="dispatch", schema=SCHEMA)
    assert (fault in found[0]) if fault else found == []


@pytest.mark.parametrize(
    ("told", "fault"),
    [
        ("{lapispick_ops: nowhere}", "'nowhere' is neither PORT nor HOST:PORT"),
        ("{lapispick_ops: 8443}", "a:8443 stands twice, first for a"),
        ("{lapispick_agent: 70000}", "has no port from 1 to 65535"),
        ("{lapispick_agent: 'b:8443'}", "b:8443 stands twice, first for a"),
    ],
)
def test_addresses_that_are_none_or_stand_twice_are_faults(told, fault):
    _, wrong = made(f"dispatch:\n  hosts:\n    a: {told}\n    b: {{}}")
    assert [f for f in map(str, wrong) if fault in f]
    assert str(wrong[0]).startswith("f.yml:")


@pytest.fixture
def at(tmp_path):
    (tmp_path / "list.yml").write_text(LIST)
    return tmp_path


def run(*words):
    done = CliRunner().invoke(cli, ["inventory", *map(str, words)])
    return done.exit_code, done.output


def test_the_commands_ask_each_group_for_its_own(at):
    (at / "own.conf").write_text(
        "section inventory\n path list.yml\n group shops\nend\nsection fleet\n"
        " group dispatch\nend\nsection amqp\n enabled yes\nend\n"
    )
    conf_at = ("--conf", at / "own.conf")
    assert run("check", *conf_at)[0] == 0  # the brokers' group, as the AMQP front is on
    code, told = run("list", *conf_at, "--group", "dispatch", "--json")
    assert code == 0
    assert {b["vars"]["lapispick_zone"] for b in json.loads(told)} == {"pipera", "berceni"}
    assert run("check", *conf_at, "--group", "pipera")[0] == 0  # nobody's: nothing is asked of its boxes
    (at / "list.yml").write_text(LIST.replace("lapispick_weight: 2", "lapispick_weight: heavy"))
    assert run("check", *conf_at)[0] == 0
    assert run("check", *conf_at, "--group", "dispatch")[0] == 1


def test_a_list_of_worker_hosts_needs_no_queues(at):
    assert run("check", "--path", at / "list.yml", "--group", "dispatch")[0] == 0
    code, told = run("list", "--path", at / "list.yml", "--group", "dispatch")
    assert code == 0
    assert "disp-07.pipera.example.org" in told
    (at / "own.conf").write_text("section inventory\n path list.yml\nend\nsection fleet\n group dispatch\nend\n")
    (at / "list.yml").write_text(LIST.replace("lapispick_ops: 9100", "lapispick_ops: 8443"))
    code, told = run("check", "--conf", at / "own.conf")  # the fleet's, as no front is on
    assert code == 1
    assert "stands twice" in told


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ("section fleet\n group dispatch\nend\n", "needs a path in section inventory"),
        (
            "section inventory\n path l.yml\n group g\nend\n"
            "section amqp\n enabled yes\nend\nsection fleet\n group g\nend\n",
            "is that of the AMQP front's brokers",
        ),
    ],
)
def test_the_section_is_checked_with_the_others(tmp_path, text, fault):
    (tmp_path / "own.conf").write_text(text)
    with pytest.raises(InvalidFileError, match=fault):
        conf.parse(tmp_path / "own.conf")
