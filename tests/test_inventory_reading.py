"""Reading inventories in both formats, and their fault messages."""

import re

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lapispick.file_errors import FaultCollector
from lapispick.fleet import snapshot
from lapispick.fleet.reading import InventoryReader, ReadOptions
from lapispick.fleet.schema import ANY_HOST
from lapispick.fleet.yaml_reader import Document
from tests.fleet_files import csv_list, faults, files, hosts, read, reader, yaml_list

YAML = """\
all:
  vars: {amqp_prefetch: 5, ansible_user: deploy}
  children:
    shops:
      vars: {amqp_user: shop, amqp_password_env: SHOP_PASSWORD}
      children:
        north:
          hosts:
            b1:
              ansible_host: 127.0.0.1
              amqp_queues:
                - jobs
                - {amqp_queue: books, amqp_class: book, amqp_prefetch: 9}
            b2: {amqp_host: 127.0.0.2, amqp_port: 5673, amqp_queue: jobs, amqp_user: other}
    elsewhere:
      hosts: {b3: {amqp_queue: never}}
"""


def test_yaml_hosts_inherit_the_variables_of_their_groups_and_override_them():
    hosts_by_name = hosts(YAML)
    assert set(hosts_by_name) == {"b1", "b2"}
    inheriting = hosts_by_name["b1"]
    assert inheriting.address == "127.0.0.1"
    assert inheriting.port == 5672
    assert inheriting.vars["amqp_user"] == "shop"
    assert inheriting.vars["amqp_password"] == "secret"
    queues = [(item["amqp_queue"], item["amqp_prefetch"], item["amqp_class"]) for item in inheriting.items]
    assert queues == [("books", 9, "book"), ("jobs", 5, "")]
    overriding = hosts_by_name["b2"]
    assert overriding.address == "127.0.0.2"
    assert overriding.port == 5673
    assert overriding.vars["amqp_user"] == "other"


def test_files_and_folders_of_variables_are_merged_in_their_order():
    hosts_by_name = hosts(
        {
            "10-base.yml": "shops: {hosts: {'b[1:2]': {amqp_queue: q}}, vars: {amqp_user: base, amqp_port: 1}}\n",
            "20-site.yml": "shops: {vars: {amqp_user: site}}\n",
            "30-more.csv": 'host;group;amqp_queue\nb3;shops;"a\nb"\n',
            "group_vars/all.yml": "amqp_prefetch: 7\namqp_user: everyone\n",
            "group_vars/shops/x.yml": "amqp_vhost: /shops\n",
            "host_vars/B2.yml": "amqp_port: 9\n",
        }
    )
    merged = {
        name: (host.port, host.vars["amqp_user"], host.vars["amqp_vhost"]) for name, host in hosts_by_name.items()
    }
    assert merged == {
        "b1": (1, "site", "/shops"),
        "b2": (9, "site", "/shops"),
        "b3": (1, "site", "/shops"),
    }
    assert hosts_by_name["b3"].items[0]["amqp_queue"] == "a\nb"
    assert hosts_by_name["b3"].items[0]["amqp_prefetch"] == 7


@pytest.mark.parametrize(
    "data",
    [
        csv_list({"a": 1}).encode("utf-8-sig"),
        csv_list({"a": 1}).encode("utf-16"),
        csv_list({"a": 1}).replace("\n", "\r\n").encode(),
        csv_list({"a": 1}).replace(",", ";").encode(),
        csv_list({"a": 1}).replace(",", "\t").encode(),
        b"# made by a tool\n\n" + csv_list({"a": 1}).encode(),
    ],
)
def test_csv_dialects_and_encodings_are_detected(data):
    assert hosts(data, "f.csv")["a"].port == 1


CSV_HEADER = "host,amqp_queue,amqp_port\n"


@pytest.mark.parametrize(
    ("name", "text", "message"),
    [
        ("i.csv", CSV_HEADER + "b,q,x\n", r"i\.csv:2:3: amqp_port: expected a whole number from 1 to 65535, got 'x'"),
        (
            "i.csv",
            CSV_HEADER + "b,q,1\nc,,2\n",
            r"i\.csv:3:1: amqp_queue: missing; expected at least one for each host",
        ),
        (
            "i.csv",
            "host,amqp_host,amqp_queue\nb,no host,q\n",
            r"i\.csv:2:2: amqp_host: 'no host' is not a valid host name",
        ),
        ("i.csv", CSV_HEADER + ",q,1\n", r"i\.csv:2: host: is empty; expected a host name"),
        ("i.csv", CSV_HEADER + "b,q\n", r"i\.csv:2: amqp_port: expected 3 cells, got 2"),
        ("i.csv", "name,x\n", r"i\.csv:1: host: missing column; the header has only name, x"),
        ("i.csv", "host,host\n", r"i\.csv:1:2: host: duplicate column in the header, first used as column 1"),
        ("i.csv", 'host,amqp_queue\n"b,q\n', r"i\.csv:1: invalid CSV after this line: unexpected end"),
        ("i.csv", "", r"i\.csv:1: host: the file has no header"),
        ("i.csv", CSV_HEADER, r"inventory: shops: no hosts in this group; the list is empty|unknown group"),
        ("i.csv", CSV_HEADER + "b,q,1\nc\0,q,1\n", r"i\.csv:3: NUL byte"),
        ("i.csv", CSV_HEADER + "d-[1:x],q,1\n", r"i\.csv:2:1: host: \[1:x\] is not a valid range"),
        (
            "i.csv",
            "host,amqp_queue,amqp_prefech\nb,q,3\n",
            r"i\.csv:2:3: amqp_prefech: unknown variable; did you mean amqp_prefetch\?",
        ),
        (
            "i.csv",
            "host,amqp_queue,amqp_class\nb,q,bok\n",
            r"i\.csv:2:3: amqp_class: expected one of track, book, got 'bok'; did you mean book\?",
        ),
        ("i.csv", b"host,amqp_queue\nb,\xff\n", r"i\.csv:2: invalid UTF-8 at byte 18"),
        (
            "i.yml",
            YAML.replace("5673", "0"),
            r"i\.yml:14:\d+: amqp_port: expected a whole number from 1 to 65535, got 0",
        ),
        (
            "i.yml",
            YAML.replace("amqp_prefetch: 9", "amqp_prefetch: true"),
            r"i\.yml:13:\d+: amqp_prefetch: expected a whole number from 1 to 1000, got True",
        ),
        (
            "i.yml",
            YAML.replace("amqp_class: book", "amqp_clas: book"),
            r"i\.yml:13:\d+: amqp_clas: unknown item variable",
        ),
        (
            "i.yml",
            YAML.replace("SHOP_PASSWORD", "UNSET_PASSWORD"),
            r"i\.yml:5:\d+: amqp_password_env: environment variable UNSET_PASSWORD is not set",
        ),
        (
            "i.yml",
            YAML.replace("    elsewhere", "    shops"),
            r"i\.yml:15:5: shops: duplicate key, first used at i\.yml:4:5",
        ),
        (
            "i.yml",
            YAML.replace("hosts: {b3", "host: {b3"),
            r"i\.yml:16:7: host: unknown key in a group; expected one of hosts, vars",
        ),
        ("i.yml", YAML.replace("    shops", "    shop"), r"shops: unknown group; expected one of all, elsewhere"),
        ("i.yml", "all: [\n", r"i\.yml:2:1: invalid YAML"),
        ("i.yml", "all: 3\n", r"i\.yml:1:1: all: expected a mapping"),
        ("i.yml", "- a\n", r"i\.yml:1: expected a mapping of groups at the top level"),
        ("i.yml", "? [a]\n: b\n", r"i\.yml:1:3: expected a scalar as a key"),
        ("i.yml", "shops: &a {children: {b: *a}}\n", r"i\.yml:1:8: the anchored value contains an alias of itself"),
        (
            "i.yml",
            "shops: {hosts: {a: {amqp_queue: !vault x}}}\n",
            r"amqp_queue: expected a value without a tag, got one with the tag !vault",
        ),
        ("i.yml", "shops: {children: {a: {children: {shops: {}}}}}\n", r"cycle of groups: a -> shops -> a"),
        (
            "i.yml",
            "shops: " + "{children: {a: " * 40 + "{}" + "}}" * 40 + "\n",
            r"nested at most \d+ levels deep, got more",
        ),
        (
            "i.yml",
            "a0: &a0 [x,x]\n" + "".join(f"a{n}: &a{n} [{','.join([f'*a{n - 1}'] * 9)}]\n" for n in range(1, 12)),
            r"expected at most 2000000 values after expanding aliases, got \d+",
        ),
        (
            "i.yml",
            "shops: {hosts: {a: {amqp_queue: q}}, children: {x: {hosts: {a: {amqp_queue: r}}}}}\n",
            r"amqp_queue: a has another value at i\.yml:1",
        ),
    ],
)
def test_faults_name_file_line_key_value_and_what_is_expected(name, text, message):
    fault_texts = faults(text, name)
    assert any(re.search(message, fault) for fault in fault_texts), fault_texts


def test_faults_are_listed_up_to_a_limit():
    assert len(faults(CSV_HEADER + "b1,q,x\nb2,q,y\n,q,3\n", "f.csv")) >= 2
    result = read(CSV_HEADER + "b,q,x\n" * 300, "f.csv")
    assert len(result.faults) == 50
    assert result.omitted_faults == 250


def test_merge_keys_and_anchors_are_read():
    text = "x: {vars: &v {amqp_port: 7, amqp_user: me}}\nshops: {hosts: {a: {<<: *v, amqp_port: 8, amqp_queue: q}}}\n"
    host = hosts(text)["a"]
    assert host.port == 8
    assert host.vars["amqp_user"] == "me"


@pytest.mark.parametrize(
    ("options", "is_complete"),
    [({"final_newline": True}, False), ({"final_newline": False}, True), ({"end_marker": "# end"}, False)],
)
def test_a_text_that_may_be_truncated_is_reported_as_incomplete(options, is_complete):
    text = csv_list({"a": 1, "b": 2})
    assert bool(read(text[:-1], "f.csv", **options).incomplete_reason) != is_complete
    assert not read(text + "# end\n", "f.csv", **options).incomplete_reason


host_names = st.sampled_from([f"b{n}" for n in range(40)])
port_maps = st.dictionaries(host_names, st.integers(1, 9), min_size=1, max_size=30)


@given(port_maps, st.randoms())
@settings(max_examples=60, deadline=None)
def test_any_order_of_hosts_gives_the_same_digest(ports, random):
    shuffled_items = list(ports.items())
    random.shuffle(shuffled_items)
    for make_list, name in ((csv_list, "f.csv"), (yaml_list, "f.yml")):
        in_order = snapshot.snapshot_of(hosts(make_list(ports), name))
        shuffled = snapshot.snapshot_of(hosts(make_list(dict(shuffled_items)), name))
        assert in_order.digest == shuffled.digest


@given(port_maps, port_maps)
@settings(max_examples=60, deadline=None)
def test_applying_a_difference_to_the_old_list_gives_the_new_list(old_ports, new_ports):
    old = snapshot.snapshot_of(hosts(csv_list(old_ports), "f.csv"))
    new = snapshot.snapshot_of(hosts(csv_list(new_ports), "f.csv"))
    difference = snapshot.difference(old, new)
    updated = [new.hosts[name] for name in (*difference.joined, *difference.moved, *difference.changed)]
    applied = old.with_changes(updated, difference.left)
    assert applied.digest == new.digest
    assert set(applied.hosts) == set(new.hosts)
    assert bool(difference) == (old.digest != new.digest)
    assert not snapshot.difference(applied, new)


def without_locations(value):
    """Return a YAML value with plain values in place of located ones."""
    if isinstance(value, dict):
        return {key: without_locations(var.value) for key, var in value.items()}
    return [without_locations(element) for element in value] if isinstance(value, list) else value


line_edits = st.lists(
    st.tuples(
        st.integers(0, 200),
        st.integers(0, 3),
        st.sampled_from(
            [
                "    b3:",
                "    zz: {amqp_queue: x}",
                "      amqp_port: 4",
                "  vars: {}",
                "other:",
                "# x",
                "",
                "    'q",
                "        - more",
                "      note: |",
                "        text",
                "   odd: 1",
                "    w: [1,",
                "    ? x",
                "- y",
                "    k: &a 1",
                "      s: 'a",
                "        b'",
                "\t",
                "    b5: {}",
                "    l:",
                "    - m",
            ]
        ),
    ),
    min_size=1,
    max_size=3,
)


@given(st.integers(4, 24), line_edits)
@settings(max_examples=400, deadline=None)
def test_an_incremental_update_reads_the_same_as_a_full_read(count, changes):
    lines = yaml_list({f"b{n}": n + 1 for n in range(count)}).splitlines()
    document = Document("f.yml", "\n".join(lines) + "\n", FaultCollector())
    for line_index, replaced_count, line in changes:
        line_index %= len(lines) + 1
        lines[line_index : line_index + replaced_count] = [line]
        text = "\n".join(lines) + "\n"
        faults_found = FaultCollector()
        fully_read = Document("f.yml", text, faults_found)
        if not document.update(text):
            document = fully_read
            if faults_found:
                return
        else:
            assert not faults_found, [str(fault) for fault in faults_found.collected]
            assert without_locations(document.root) == without_locations(fully_read.root)


def test_a_change_of_one_host_is_read_incrementally():
    ports = {f"b{n}": n + 1 for n in range(30)}
    document = Document("f.yml", yaml_list(ports), FaultCollector())
    for change in ({"b7": 99}, {"new": 5}, {"b29": 3}):
        ports |= change
        assert document.update(yaml_list(ports))
    del ports["b3"]
    assert document.update(yaml_list(ports))
    fully_read = Document("f.yml", yaml_list(ports), FaultCollector())
    assert without_locations(document.root) == without_locations(fully_read.root)


def digests(reading):
    """Return the digests of the hosts that were read."""
    return {name: host.digest for name, host in reading.hosts.items()}


@given(port_maps, port_maps)
@settings(max_examples=60, deadline=None)
def test_a_reader_with_a_cache_reads_the_same_as_a_new_one(old, new):
    for make_list, name in ((csv_list, "f.csv"), (yaml_list, "f.yml")):
        cached = reader()
        for ports in (old, new, old):
            cached_result = cached.read(files(make_list(ports), name))
            uncached_result = read(make_list(ports), name)
            assert digests(cached_result) == digests(uncached_result)


def test_fault_locations_are_right_after_a_change_that_moved_lines():
    cached = reader()
    ports = {f"b{n}": n + 1 for n in range(30)}
    cached.read(files(csv_list(ports), "f.csv"))
    text = csv_list(ports).replace("b0,", "new,7,jobs\nb0,") + "b29,30,jobs\n"
    (fault,) = cached.read(files(text, "f.csv")).faults
    assert str(fault) == "f.csv:33:3: amqp_queue: duplicate name 'jobs', first used at f.csv:32:3"


@given(st.binary(max_size=300))
@settings(max_examples=200, deadline=None)
def test_any_bytes_give_faults_or_hosts(data):
    for name in ("f.csv", "f.yml"):
        result = read(data, name)
        assert result.faults or result.hosts


def test_a_schema_without_variables_does_not_check_variables():
    any_host_reader = InventoryReader(ReadOptions("all", ANY_HOST), {})
    assert set(any_host_reader.read(files("host,amqp_port,x\na,none,\n", "f.csv")).hosts) == {"a"}
