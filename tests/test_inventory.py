"""Inventories in both forms, and the plain words for what is wrong with them."""

from pathlib import Path

import msgspec
import pytest

from lapispick.host import config
from lapispick.settings import Info
from tests.standins import INFO

SETTINGS = msgspec.convert(INFO, Info)
YAML = """
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
CSV = "host,group,amqp_host,amqp_queue,amqp_port,amqp_prefetch,note\n"
CSV += "b1,shops,127.0.0.3,jobs,5672,7,x\n\nb1,shops,127.0.0.3,books,,,\nb9,no,q,,,,\n"


def load(folder, text, name="inventory.yml", group="shops", told="", environ=None):
    (folder / name).write_text(text)
    (folder / "amqp.toml").write_text(f'enabled = true\ninventory = "{name}"\ngroup = "{group}"\n{told}')
    path = str(folder / "amqp.toml")
    return config.load_amqp(SETTINGS, {"LAPISPICK_AMQP": path, "SHOP_WORD": "secret", **(environ or {})})


def test_yaml_groups_pass_their_variables_down_and_hosts_have_the_last_word(tmp_path):
    one, two = load(tmp_path, YAML).queues.items()
    assert one[0] == config.Broker(("127.0.0.1", 5672), "/", "shop", "secret", 10)
    assert one[1] == [config.Queue("jobs", 5, "", "", 24.0), config.Queue("books", 9, "book", "", 24.0)]
    assert (two[0].address, two[0].user, two[1][0].name) == (("127.0.0.2", 5673), "other", "jobs")


def test_csv_rows_of_one_broker_share_its_connection(tmp_path):
    (broker, queues), = load(tmp_path, CSV, "inventory.csv").queues.items()
    assert broker.address == ("127.0.0.3", 5672)
    assert [(q.name, q.prefetch) for q in queues] == [("jobs", 7), ("books", 32)]


def test_the_example_under_deploy_can_be_switched_on(tmp_path):
    text = (Path(__file__).parent.parent / "deploy/amqp-inventory.yml").read_text()
    word = {"LAPISPICK_AMQP_PASSWORD": "x"}
    (broker, queues), = load(tmp_path, text, group="dispatch_brokers", environ=word).queues.items()
    assert broker.password == "x" and [q.name for q in queues] == ["bookings", "shop-requests"]


def test_the_front_is_off_unless_it_is_switched_on(tmp_path):
    path = tmp_path / "off.toml"
    path.write_text('inventory = "nowhere.csv"\n')
    assert config.load_amqp(SETTINGS, {"LAPISPICK_AMQP": str(path)}) is None
    assert config.load_amqp(SETTINGS, {}) is None  # the repository's own file, as on the platform


HEAD = "host,amqp_queue,amqp_port\n"


@pytest.mark.parametrize("name,text,where", [
    ("i.csv", HEAD + "b,q,x\n", r"i\.csv: row 2: amqp_port: must be a number"),
    ("i.csv", HEAD + "127.0.0.1,q,1\n127.0.0.2,,2\n", r"i\.csv: row 3: amqp_queue: must name a queue"),
    ("i.csv", "host,amqp_host,amqp_queue\nb,no host,q\n", r"i\.csv: row 2: amqp_host: 'no host' has no"),
    ("i.csv", HEAD + ",q,1\n", r"i\.csv: row 2: host: is empty"),
    ("i.csv", HEAD + "b,q\n", r"i\.csv: row 2: amqp_port: 2 cells"),
    ("i.csv", HEAD + "127.0.0.1,q,1\n127.0.0.1,q,1\n", r"i\.csv: row 3: amqp_queue: 'q' is consumed twice"),
    ("i.csv", "name,x\n", r"i\.csv: row 1: host: the header"),
    ("i.csv", "host,host\n", r"i\.csv: row 1: host: .*twice"),
    ("i.csv", 'host,amqp_queue\n"b,q\n', r"i\.csv: row 2"),
    ("i.csv", "", r"i\.csv: row 1: host"),
    ("i.csv", "host,amqp_queue,amqp_prefech\nb,q,3\n", r"i\.csv: row 2: amqp_prefech: unknown"),
    ("i.csv", "host,amqp_queue,amqp_class\n127.0.0.1,q,x\n", r"i\.csv: row 2: amqp_class: 'x' is none of"),
    ("i.yml", YAML.replace("5673", "0"), r"i\.yml: row 15: amqp_port: must be a number"),
    ("i.yml", YAML.replace("amqp_prefetch: 9", "amqp_prefetch: true"), r"i\.yml: row 14: amqp_prefetch"),
    ("i.yml", YAML.replace("amqp_class: book", "amqp_clas: book"), r"i\.yml: row 14: amqp_clas: unknown"),
    ("i.yml", YAML.replace("SHOP_WORD", "NO_WORD"), r"i\.yml: row 6: amqp_password_env: NO_WORD is not set"),
    ("i.yml", YAML.replace("    elsewhere", "    shops"), r"i\.yml: row 16: .*shops: stands twice"),
    ("i.yml", YAML.replace("hosts: {b3", "host: {b3"), r"i\.yml: row 17: host: a group has only"),
    ("i.yml", YAML.replace("    shops", "    shop"), r"i\.yml: row 1: shops: there is no such group"),
    ("i.yml", "all: [", r"i\.yml: row 1"),
    ("i.yml", "all: 3", r"i\.yml: row 1: all: must be a mapping"),
    ("i.yml", "? [a]\n: b\n", r"i\.yml: row 1"),
    ("i.yml", "shops: &a {children: {b: *a}}", r"i\.yml: row 1"),
    ("i.txt", "", r"i\.txt: neither"),
])
def test_faults_name_file_row_and_key(tmp_path, name, text, where):
    with pytest.raises(config.ConfigError, match=where):
        load(tmp_path, text, name)


def test_faults_of_the_deploy_file_name_their_key(tmp_path):
    with pytest.raises(config.ConfigError, match=r"amqp\.toml: queue: unknown"):
        load(tmp_path, YAML, told='queue = "x"\n')
