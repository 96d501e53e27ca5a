"""Reading lists in both forms, and the plain words for what is wrong with them."""

import re

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lapispick.file_errors import FaultCollector
from lapispick.fleet import snapshot
from lapispick.fleet.reading import Reader
from lapispick.fleet.yaml_reader import Document
from tests.fleet_files import csv_list, faults, files, hosts, read, reader, yaml_list

YAML = """\
all:
  vars: {amqp_prefetch: 5, ansible_user: deploy}
  children:
    shops:
      vars: {amqp_user: shop, amqp_password_env: SHOP_WORD}
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


def test_yaml_groups_pass_their_variables_down_and_hosts_have_the_last_word():
    found = hosts(YAML)
    assert set(found) == {"b1", "b2"}
    one, two = found["b1"], found["b2"]
    assert (one.address, one.port, one.vars["amqp_user"], one.vars["amqp_password"]) == (
        "127.0.0.1",
        5672,
        "shop",
        "secret",
    )
    assert [(q["amqp_queue"], q["amqp_prefetch"], q["amqp_class"]) for q in one.items] == [
        ("books", 9, "book"),
        ("jobs", 5, ""),
    ]
    assert (two.address, two.port, two.vars["amqp_user"]) == ("127.0.0.2", 5673, "other")


def test_several_files_and_folders_of_variables_are_merged_in_their_order():
    found = hosts(
        {
            "10-base.yml": "shops: {hosts: {'b[1:2]': {amqp_queue: q}}, vars: {amqp_user: base, amqp_port: 1}}\n",
            "20-site.yml": "shops: {vars: {amqp_user: site}}\n",
            "30-more.csv": 'host;group;amqp_queue\nb3;shops;"a\nb"\n',
            "group_vars/all.yml": "amqp_prefetch: 7\namqp_user: everyone\n",
            "group_vars/shops/x.yml": "amqp_vhost: /shops\n",
            "host_vars/B2.yml": "amqp_port: 9\n",
        }
    )
    assert {n: (b.port, b.vars["amqp_user"], b.vars["amqp_vhost"]) for n, b in found.items()} == {
        "b1": (1, "site", "/shops"),
        "b2": (9, "site", "/shops"),
        "b3": (1, "site", "/shops"),
    }
    assert found["b3"].items[0]["amqp_queue"] == "a\nb"
    assert found["b3"].items[0]["amqp_prefetch"] == 7


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
def test_csv_in_its_dialects(data):
    assert hosts(data, "f.csv")["a"].port == 1


H = "host,amqp_queue,amqp_port\n"


@pytest.mark.parametrize(
    ("name", "text", "where"),
    [
        ("i.csv", H + "b,q,x\n", r"i\.csv:2:3: amqp_port: 'x' is not a whole number from 1 to 65535"),
        ("i.csv", H + "b,q,1\nc,,2\n", r"i\.csv:3:1: amqp_queue: is not told"),
        ("i.csv", "host,amqp_host,amqp_queue\nb,no host,q\n", r"i\.csv:2:2: amqp_host: 'no host' is no host name"),
        ("i.csv", H + ",q,1\n", r"i\.csv:2: host: is empty"),
        ("i.csv", H + "b,q\n", r"i\.csv:2: amqp_port: 2 cells under 3 columns"),
        ("i.csv", "name,x\n", r"i\.csv:1: host: the header has no such column, only name, x"),
        ("i.csv", "host,host\n", r"i\.csv:1:2: host: the header has this column twice, first as column 1"),
        ("i.csv", 'host,amqp_queue\n"b,q\n', r"i\.csv:1: can't be read as CSV behind this line: unexpected end"),
        ("i.csv", "", r"i\.csv:1: host: there is no header"),
        ("i.csv", H, r"inventory: shops: no host is in this group; the list is empty|there is no such group"),
        ("i.csv", H + "b,q,1\nc\0,q,1\n", r"i\.csv:3: a NUL byte"),
        ("i.csv", H + "d-[1:x],q,1\n", r"i\.csv:2:1: host: \[1:x\] is no range"),
        (
            "i.csv",
            "host,amqp_queue,amqp_prefech\nb,q,3\n",
            r"i\.csv:2:3: amqp_prefech: unknown variable; did you mean amqp_prefetch\?",
        ),
        (
            "i.csv",
            "host,amqp_queue,amqp_class\nb,q,bok\n",
            r"i\.csv:2:3: amqp_class: 'bok' is none of track, book; did you mean book\?",
        ),
        ("i.csv", b"host,amqp_queue\nb,\xff\n", r"i\.csv:2: is no UTF-8 at byte 18"),
        ("i.yml", YAML.replace("5673", "0"), r"i\.yml:14:\d+: amqp_port: 0 is not a whole number"),
        ("i.yml", YAML.replace("amqp_prefetch: 9", "amqp_prefetch: true"), r"i\.yml:13:\d+: amqp_prefetch: True is"),
        ("i.yml", YAML.replace("amqp_class: book", "amqp_clas: book"), r"i\.yml:13:\d+: amqp_clas: unknown here"),
        ("i.yml", YAML.replace("SHOP_WORD", "NO_WORD"), r"i\.yml:5:\d+: amqp_password_env: NO_WORD is not set"),
        ("i.yml", YAML.replace("    elsewhere", "    shops"), r"i\.yml:15:5: shops: .*twice, first at i\.yml:4:5"),
        ("i.yml", YAML.replace("hosts: {b3", "host: {b3"), r"i\.yml:16:7: host: a group has only hosts, vars"),
        ("i.yml", YAML.replace("    shops", "    shop"), r"shops: there is no such group; there are all, elsewhere"),
        ("i.yml", "all: [\n", r"i\.yml:2:1: can't be read as YAML"),
        ("i.yml", "all: 3\n", r"i\.yml:1:1: all: must be a mapping"),
        ("i.yml", "- a\n", r"i\.yml:1: the whole must be a mapping"),
        ("i.yml", "? [a]\n: b\n", r"i\.yml:1:3: a key must be a plain text"),
        ("i.yml", "shops: &a {children: {b: *a}}\n", r"i\.yml:1:8: an alias within its own anchor"),
        ("i.yml", "shops: {hosts: {a: {amqp_queue: !vault x}}}\n", r"amqp_queue: has the tag !vault"),
        ("i.yml", "shops: {children: {a: {children: {shops: {}}}}}\n", r"groups hold each other: a -> shops -> a"),
        ("i.yml", "shops: " + "{children: {a: " * 40 + "{}" + "}}" * 40 + "\n", r"nested more than"),
        (
            "i.yml",
            "a0: &a0 [x,x]\n" + "".join(f"a{n}: &a{n} [{','.join([f'*a{n - 1}'] * 9)}]\n" for n in range(1, 12)),
            r"stands for more than 2000000 values",
        ),
        (
            "i.yml",
            "shops: {hosts: {a: {amqp_queue: q}}, children: {x: {hosts: {a: {amqp_queue: r}}}}}\n",
            r"amqp_queue: a has another value at i\.yml:1",
        ),
    ],
)
def test_faults_name_file_line_key_value_and_what_is_wanted(name, text, where):
    found = faults(text, name)
    assert any(re.search(where, f) for f in found), found


def test_all_faults_are_listed_up_to_a_bound():
    assert len(faults(H + "b1,q,x\nb2,q,y\n,q,3\n", "f.csv")) >= 2
    found = read(H + "b,q,x\n" * 300, "f.csv")
    assert len(found.faults) == 50
    assert found.omitted_faults == 250


def test_merge_keys_and_anchors_are_read():
    text = "x: {vars: &v {amqp_port: 7, amqp_user: me}}\nshops: {hosts: {a: {<<: *v, amqp_port: 8, amqp_queue: q}}}\n"
    assert (hosts(text)["a"].port, hosts(text)["a"].vars["amqp_user"]) == (8, "me")


@pytest.mark.parametrize(
    ("over", "whole"),
    [({"final_newline": True}, False), ({"final_newline": False}, True), ({"end_marker": "# end"}, False)],
)
def test_a_text_that_may_be_cut_is_told(over, whole):
    text = csv_list({"a": 1, "b": 2})
    assert bool(read(text[:-1], "f.csv", **over).incomplete_reason) != whole
    assert not read(text + "# end\n", "f.csv", **over).incomplete_reason


names = st.sampled_from([f"b{n}" for n in range(40)])
lists = st.dictionaries(names, st.integers(1, 9), min_size=1, max_size=30)


@given(lists, st.randoms())
@settings(max_examples=60, deadline=None)
def test_any_order_and_either_form_give_one_digest(ports, random):
    mixed = list(ports.items())
    random.shuffle(mixed)
    lists_ = [hosts(csv_list(ports), "f.csv"), hosts(csv_list(dict(mixed)), "f.csv")]
    assert len({snapshot.snapshot_of(found).digest for found in lists_}) == 1
    tuples = [snapshot.snapshot_of(hosts(yaml_list(p))).digest for p in (ports, dict(mixed))]
    assert tuples[0] == tuples[1]


@given(lists, lists)
@settings(max_examples=60, deadline=None)
def test_a_difference_applied_gives_the_new_list(old, new):
    one, two = (snapshot.snapshot_of(hosts(csv_list(p), "f.csv")) for p in (old, new))
    diff = snapshot.difference(one, two)
    made = one.with_changes([two.hosts[n] for n in (*diff.joined, *diff.moved, *diff.changed)], diff.left)
    assert made.digest == two.digest
    assert set(made.hosts) == set(two.hosts)
    assert bool(diff) == (one.digest != two.digest)
    assert not snapshot.difference(made, two)


def plain(value):
    """Return what a YAML value says, without its places."""
    if isinstance(value, dict):
        return {k: plain(v.value) for k, v in value.items()}
    return [plain(v) for v in value] if isinstance(value, list) else value


edits = st.lists(
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


@given(st.integers(4, 24), edits)
@settings(max_examples=400, deadline=None)
def test_a_change_read_in_small_is_the_same_as_the_whole_read_anew(count, changes):
    lines = yaml_list({f"b{n}": n + 1 for n in range(count)}).splitlines()
    document = Document("f.yml", "\n".join(lines) + "\n", FaultCollector())
    for at, drop, line in changes:
        at %= len(lines) + 1
        lines[at : at + drop] = [line]
        text = "\n".join(lines) + "\n"
        found = FaultCollector()
        whole = Document("f.yml", text, found)
        if not document.update(text):
            document = whole
            if found:
                return
        else:
            assert not found, [str(f) for f in found.collected]
            assert plain(document.top) == plain(whole.top)


def test_a_change_of_one_host_is_read_in_small():
    ports = {f"b{n}": n + 1 for n in range(30)}
    document = Document("f.yml", yaml_list(ports), FaultCollector())
    for change in ({"b7": 99}, {"new": 5}, {"b29": 3}):
        ports |= change
        assert document.update(yaml_list(ports))
    del ports["b3"]
    assert document.update(yaml_list(ports))
    assert plain(document.top) == plain(Document("f.yml", yaml_list(ports), FaultCollector()).top)


@given(lists, lists)
@settings(max_examples=60, deadline=None)
def test_a_reader_that_remembers_reads_what_a_fresh_one_reads(old, new):
    for form, name in ((csv_list, "f.csv"), (yaml_list, "f.yml")):
        warm = reader()
        for ports in (old, new, old):
            found = warm.read(files(form(ports), name))
            fresh = read(form(ports), name)
            assert {n: b.digest for n, b in found.hosts.items()} == {n: b.digest for n, b in fresh.hosts.items()}


def test_places_are_right_after_a_change_that_moved_lines():
    warm = reader()
    ports = {f"b{n}": n + 1 for n in range(30)}
    warm.read(files(csv_list(ports), "f.csv"))
    text = csv_list(ports).replace("b0,", "new,7,jobs\nb0,") + "b29,30,jobs\n"
    (fault,) = warm.read(files(text, "f.csv")).faults
    assert str(fault) == "f.csv:33:3: amqp_queue: 'jobs' stands twice, first at f.csv:32:3"


@given(st.binary(max_size=300))
@settings(max_examples=200, deadline=None)
def test_no_bytes_break_the_reader(data):
    for name in ("f.csv", "f.yml"):
        found = read(data, name)
        assert found.faults or found.hosts


def test_no_word_of_a_file_without_this_user_is_checked():
    from lapispick.fleet.schema import ANY_HOST

    assert set(Reader(read_options(ANY_HOST), {}).read(files("host,amqp_port,x\na,none,\n", "f.csv")).hosts) == {"a"}


def read_options(schema):
    from lapispick.fleet.reading import Options

    return Options("all", schema)
