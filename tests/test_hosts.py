"""The inventory of worker hosts: its schema, its faults, and the commands for a list that also has brokers."""

import json

import pytest
from click.testing import CliRunner

from lapispick.cli.main import cli
from lapispick.conf import settings as conf
from lapispick.file_errors import InvalidFileError
from lapispick.fleet import hosts
from lapispick.fleet.hosts import SCHEMA, WorkerHost
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


def read_worker_hosts(text, **options):
    return hosts.worker_hosts_of(inventory_hosts(text, group="dispatch", schema=SCHEMA, **options).values())


def test_a_host_is_read_with_its_addresses_failure_domain_and_weight():
    worker_hosts, found_faults = read_worker_hosts(LIST)
    assert not found_faults
    assert len(worker_hosts) == 3
    assert worker_hosts[0] == WorkerHost(
        "disp-01.berceni.example.org", "10.0.0.4:8444", "10.1.0.4:9101", "10.0.0.4:9200", "berceni", "", "", 2.0
    )
    name = "disp-06.pipera.example.org"
    assert worker_hosts[1] == WorkerHost(
        name, f"{name}:8443", f"{name}:9100", f"{name}:9200", "pipera", "rack-2", "old-box", 1.0
    )
    assert worker_hosts[1].kind == ("pipera", "old-box")
    assert worker_hosts[1].failure_domain == ("pipera", "rack-2")


def test_two_spellings_of_a_worker_host_are_one_host():
    list_with_duplicate = LIST.replace(
        "hosts:\n        disp-[06:07].pipera.example.org:",
        "hosts:\n        DISP-06.Pipera.example.org.: {}\n        disp-[06:07].pipera.example.org:",
    )
    worker_hosts, found_faults = read_worker_hosts(list_with_duplicate)
    assert not found_faults
    assert len(worker_hosts) == 3


@pytest.mark.parametrize(
    ("host_line", "fault"),
    [
        ("a: {lapispick_opps: 9}", "unknown variable; did you mean lapispick_ops?"),
        ("a: {lapispick_weight: 0}", "lapispick_weight: expected a number from 0.001 to 1000, got 0"),
        ("a: {lapispick_port: 0}", "lapispick_port: expected a whole number from 1 to 65535, got 0"),
        ("a: {amqp_port: none of ours}", ""),
    ],
)
def test_faults_name_the_variable_and_its_valid_values(host_line, fault):
    messages = faults("dispatch:\n  hosts:\n    " + host_line, group="dispatch", schema=SCHEMA)
    assert (fault in messages[0]) if fault else messages == []


@pytest.mark.parametrize(
    ("variables", "fault"),
    [
        ("{lapispick_ops: nowhere}", "expected PORT or HOST:PORT, got 'nowhere'"),
        ("{lapispick_ops: 8443}", "duplicate address a:8443, first used by a"),
        ("{lapispick_agent: 70000}", "has port 70000; expected a port from 1 to 65535"),
        ("{lapispick_agent: 'b:8443'}", "duplicate address b:8443, first used by a"),
    ],
)
def test_invalid_and_duplicate_addresses_are_faults(variables, fault):
    _, found_faults = read_worker_hosts(f"dispatch:\n  hosts:\n    a: {variables}\n    b: {{}}")
    assert any(fault in str(found_fault) for found_fault in found_faults)
    assert str(found_faults[0]).startswith("f.yml:")


@pytest.fixture
def inventory_folder(tmp_path):
    (tmp_path / "list.yml").write_text(LIST)
    return tmp_path


def run_inventory(*arguments):
    result = CliRunner().invoke(cli, ["inventory", *map(str, arguments)])
    return result.exit_code, result.output


def test_the_commands_check_each_group_against_its_own_schema(inventory_folder):
    (inventory_folder / "own.conf").write_text(
        "section inventory\n path list.yml\n group shops\nend\nsection fleet\n"
        " group dispatch\nend\nsection amqp\n enabled yes\nend\n"
    )
    conf_options = ("--conf", inventory_folder / "own.conf")
    assert run_inventory("check", *conf_options)[0] == 0  # checks the brokers' group, as the AMQP front is on
    code, output = run_inventory("list", *conf_options, "--group", "dispatch", "--json")
    assert code == 0
    assert {entry["vars"]["lapispick_zone"] for entry in json.loads(output)} == {"pipera", "berceni"}
    # No part of the program uses this group, so any variables are valid.
    assert run_inventory("check", *conf_options, "--group", "pipera")[0] == 0
    (inventory_folder / "list.yml").write_text(LIST.replace("lapispick_weight: 2", "lapispick_weight: heavy"))
    assert run_inventory("check", *conf_options)[0] == 0
    assert run_inventory("check", *conf_options, "--group", "dispatch")[0] == 1


def test_a_list_of_worker_hosts_needs_no_queues(inventory_folder):
    assert run_inventory("check", "--path", inventory_folder / "list.yml", "--group", "dispatch")[0] == 0
    code, output = run_inventory("list", "--path", inventory_folder / "list.yml", "--group", "dispatch")
    assert code == 0
    assert "disp-07.pipera.example.org" in output
    (inventory_folder / "own.conf").write_text(
        "section inventory\n path list.yml\nend\nsection fleet\n group dispatch\nend\n"
    )
    (inventory_folder / "list.yml").write_text(LIST.replace("lapispick_ops: 9100", "lapispick_ops: 8443"))
    # Checks the fleet's group, as the AMQP front is off.
    code, output = run_inventory("check", "--conf", inventory_folder / "own.conf")
    assert code == 1
    assert "duplicate address" in output
    assert ", first used by" in output


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ("section fleet\n group dispatch\nend\n", "group: requires path in section inventory, which is not set"),
        (
            "section inventory\n path l.yml\n group g\nend\n"
            "section amqp\n enabled yes\nend\nsection fleet\n group g\nend\n",
            "group: expected a group of worker hosts, got 'g', the group of the AMQP brokers in section inventory",
        ),
    ],
)
def test_the_fleet_section_is_checked_against_the_others(tmp_path, text, fault):
    (tmp_path / "own.conf").write_text(text)
    with pytest.raises(InvalidFileError, match=fault):
        conf.parse(tmp_path / "own.conf")
