"""A running host follows its list in place: whatever happens to the files, no message is lost or doubled."""

import collections
import json
import os
import re
import signal
import subprocess
import sys
import threading
import time
from pathlib import Path

import pytest

from lapispick.fakes.broker import Broker
from lapispick.fakes.waiting import wait_until

HEAD = "host,amqp_host,amqp_port,amqp_queue,amqp_prefetch,amqp_customer,amqp_password\n"
CONF = """
section inventory
    path {path}
    group shops
    look 20ms
    settle 80ms
    settle-most 250ms
    names-every 100ms
    {more}
end
section amqp
    enabled yes
end
"""


class Fleet:
    """A list of stand-in brokers in a file, and the host that follows it."""

    def __init__(self, folder, brokers=2):
        self.folder, self.file = folder, folder / "shops.csv"
        self.brokers = {f"broker-{name}": Broker() for name in "abcdef"[:brokers]}
        self.rows = {
            name: {"queue": "jobs", "prefetch": "32", "password": "", "host": b.address.split(":")[0]}
            for name, b in self.brokers.items()
        }
        self.write()

    def text(self, order=None):
        def row(name):
            told, port = self.rows[name], self.brokers[name].address.split(":")[1]
            return f"{name},{told['host']},{port},{told['queue']},{told['prefetch']},shop,{told['password']}\n"

        return HEAD + "".join(row(n) for n in (order or self.rows))

    def write(self, text=None, order=None):
        """Replace the file in one step, as good tools do."""
        spare = self.file.with_suffix(".tmp")
        spare.write_text(self.text(order) if text is None else text)
        spare.replace(self.file)

    def start(self, host, more="", **over):
        conf = self.folder / "own.conf"
        conf.write_text(CONF.format(path=self.file.name, more=more))
        self.environ = {"LAPISPICK_CONF": str(conf)}
        self.host = host(environ=self.environ, **over)
        return self.host

    def consumed(self, *names):
        """Wait until these and no other brokers are consumed from."""
        wait_until(lambda: {n for n, b in self.brokers.items() if consumers(b)} == set(names), f"consumers at {names}")

    def ask(self, name, body, class_name="book", queue="jobs", **over):
        correlation = over.pop("correlation", body)
        return self.brokers[name].put(
            queue,
            body,
            type=class_name,
            correlation_id=correlation,
            reply_to="answers",
            expiration="4000",
            **{"message_id": f"m-{correlation}", **over},
        )

    def seen(self, event, count=1):
        wait_until(lambda: self.host.log().count(f"event={event}") >= count, f"{count} log lines {event}")

    def tool(self, *words, code=0):
        """Run the command line as an operator would."""
        made = subprocess.run(
            [sys.executable, "-m", "lapispick", *words],
            capture_output=True,
            text=True,
            timeout=30,
            env={**os.environ, **self.environ},
        )
        assert made.returncode == code, (made.stdout, made.stderr)
        return made.stdout


def consumers(broker):
    """Return the tags that consume now, over all links of a broker."""
    return broker.consumer_tags()


@pytest.fixture
def fleet(tmp_path):
    made = []

    def start(**over):
        made.append(Fleet(tmp_path, **over))
        return made[-1]

    yield start
    for each in made:
        for broker in each.brokers.values():
            broker.close()


class Flow:
    """Messages that keep coming at all brokers, and the account of them at the end."""

    def __init__(self, fleet):
        self.fleet, self.asked, self.going = fleet, {}, True
        self.thread = threading.Thread(target=self._send)
        self.thread.start()

    def _send(self):
        names = list(self.fleet.brokers)
        while self.going and len(self.asked) < 5000:
            n = len(self.asked)
            class_name = "book" if n % 3 else "track"
            self.asked[f"s{n}"] = (class_name, self.fleet.ask(names[n % len(names)], f"s{n}", class_name))
            time.sleep(0.01)

    def account(self):
        """Every message has one final answer, every booking one effect."""
        wait_until(lambda: len(self.asked) > 50, "enough messages")
        self.going = False
        self.thread.join()
        self.fleet.consumed(*self.fleet.brokers)
        wait_until(lambda: all(m.fate for _, m in self.asked.values()), "an end of every message")
        replies = collections.Counter(
            r.properties.correlation_id for b in self.fleet.brokers.values() for r in b.replies
        )
        assert replies == dict.fromkeys(self.asked, 1)
        assert {r.properties.type for b in self.fleet.brokers.values() for r in b.replies} == {"served"}
        ran = collections.Counter(body for _, _, body in self.fleet.host.executor.runs)
        assert ran == dict.fromkeys(self.asked, 1)
        assert not any(m.redelivered for _, m in self.asked.values())


def test_cut_at_every_byte_doubled_reordered_and_swapped_while_messages_come(fleet, host):
    f = fleet()
    f.start(host)
    f.consumed("broker-a", "broker-b")
    flow = Flow(f)
    whole = f.text()
    for at in range(len(whole)):
        f.file.write_text(whole[:at])  # in place, as bad tools do
        time.sleep(0.01)
    f.file.write_text(whole)
    f.consumed("broker-a", "broker-b")
    f.write(whole + f.text().splitlines()[1].replace("broker-a", "BROKER-A.").replace(",32,", ",9,") + "\n")
    f.seen("inventory-rejected")
    f.write(order=["broker-b", "broker-a"])
    other = f.folder / "elsewhere.csv"
    other.write_text(whole)
    f.file.unlink()
    f.file.symlink_to(other)
    time.sleep(0.2)
    f.file.unlink()
    f.seen("inventory-rejected", 2)
    f.file.mkdir()
    f.seen("inventory-rejected", 3)
    f.file.rmdir()
    f.write()
    flow.account()


def test_a_rolling_replacement_with_the_file_rewritten_half_way_loses_nothing(fleet, host):
    f = fleet(brokers=6)
    f.start(host)
    f.consumed(*f.brokers)
    flow = Flow(f)
    rows = dict(f.rows)
    for name in list(rows)[:5]:  # 17% of the fleet at a time, 5 of 6 in all
        gone = {k: v for k, v in rows.items() if k != name}
        f.rows = gone
        whole = f.text()
        f.file.write_text(whole[: len(whole) // 2])
        time.sleep(0.05)
        f.file.write_text(whole)
        f.consumed(*gone)
        f.rows = dict(rows)
        f.write()
        f.consumed(*rows)
    assert f.host.log().count("event=host-returned") == 5
    assert "incarnation=2" in f.host.log()
    assert "event=inventory-held" not in f.host.log()
    flow.account()


def test_a_removed_broker_is_closed_once_all_it_delivered_is_settled(fleet, host):
    f = fleet()
    f.start(host)
    f.consumed(*f.brokers)
    message = f.ask("broker-b", "hold")
    wait_until(lambda: f.host.executor.runs, "the run")
    broker = f.brokers["broker-b"]
    row = f.rows.pop("broker-b")
    f.write()
    f.consumed("broker-a")
    f.ask("broker-b", "later")
    assert not message.fate
    assert not broker.close_count
    f.host.executor.end_run(f.host.executor.runs[0].task, result="done")
    wait_until(lambda: message.fate == "ack" and broker.close_count == 1, "the acknowledgement, then the close")
    assert broker.reply("hold")[:2] == ("served", "done")
    assert not broker.reply("later")
    f.rows["broker-b"] = row
    f.write()
    wait_until(lambda: broker.reply("later"), "the message that waited")


def test_a_booking_is_known_whatever_the_list_did_since(fleet, host):
    f = fleet()
    f.start(host)
    f.consumed(*f.brokers)
    f.ask("broker-a", "job")
    wait_until(lambda: f.brokers["broker-a"].reply("job"), "the reply")
    row = f.rows.pop("broker-a")
    f.write()
    f.consumed("broker-b")
    f.brokers["broker-b"].put(
        "jobs", "job", type="book", message_id="m-job", correlation_id="again", reply_to="answers", redelivered=True
    )
    assert wait_until(lambda: f.brokers["broker-b"].reply("again"), "the reply")[:2] == ("served", "did job")
    f.rows["broker-a"] = row
    f.write()
    f.consumed(*f.brokers)
    f.brokers["broker-a"].put(
        "jobs", "job", type="book", message_id="m-job", correlation_id="third", reply_to="answers"
    )
    assert wait_until(lambda: f.brokers["broker-a"].reply("third"), "the reply")[:2] == ("served", "did job")
    assert len(f.host.executor.runs_of("job")) == 1


def test_a_change_reopens_only_what_it_touches(fleet, host):
    f = fleet()
    f.start(host)
    f.consumed(*f.brokers)
    a, b = f.brokers["broker-a"], f.brokers["broker-b"]
    before = len(b.methods)
    f.rows["broker-a"]["prefetch"] = "7"
    f.write()
    wait_until(lambda: a.methods.count("basic.cancel") == 1 and len(consumers(a)) == 1, "the consumer's change")
    assert a.methods.count("channel.open") == 2
    assert a.methods.count("connection.open") == 1
    f.ask("broker-a", "x")
    wait_until(lambda: a.reply("x"), "the reply")
    f.rows["broker-a"]["password"] = "wrong"  # the stand-in breaks such a log-in off
    f.write()
    f.seen("connect-failed", 2)
    f.ask("broker-a", "y")
    wait_until(lambda: a.reply("y"), "the reply over the old connection")
    assert not a.close_count
    f.rows["broker-a"]["password"] = "guest"
    f.write()
    f.seen("broker-ended")
    f.ask("broker-a", "z")
    wait_until(lambda: a.reply("z"), "the reply")
    assert len(consumers(a)) == 1
    assert len(b.methods) == before


def test_a_name_without_address_costs_its_broker_only_and_a_moved_one_is_followed(fleet, host):
    f = fleet(brokers=3)
    names = f.folder / "names"
    names.write_text("# none so far\n")
    f.rows["broker-b"]["host"] = "shop-b.invalid"
    third = f.rows.pop("broker-c")  # where the name moves to: at the same port it must be, so at another address
    f.write()
    f.start(host, "names-file names")
    f.consumed("broker-a")
    wait_until(lambda: re.search(r"event=connect-failed .*shop-b\.invalid", f.host.log()), "the log line")
    names.write_text("127.0.0.1 shop-b.invalid other\n")
    f.consumed("broker-a", "broker-b")
    import socket

    moved = f.brokers["broker-c"]
    moved.close()
    moved.sock = socket.create_server(("127.0.0.2", int(f.brokers["broker-b"].address.split(":")[1])))
    moved.start_accepting()
    names.write_text("127.0.0.2 shop-b.invalid\n")
    f.consumed("broker-a", "broker-c")
    f.seen("name-moved")
    wait_until(lambda: f.brokers["broker-b"].close_count == 1 and third, "the close of the old address")
    f.ask("broker-c", "x")
    wait_until(lambda: moved.reply("x"), "the reply from the new address")


def test_a_list_that_shrinks_is_held_until_the_operator_accepts_it(fleet, host):
    f = fleet(brokers=5)
    f.start(host, "state-folder state\n    hold 1h")
    f.consumed(*f.brokers)
    for name in ("broker-b", "broker-c"):
        f.rows.pop(name)
    f.write()
    f.seen("inventory-held")
    assert "3 hosts, where there were 5; 20% may go at once" in f.host.log()
    f.consumed(*f.brokers)
    assert "held" in f.tool("inventory", "history")
    found = json.loads(f.tool("inventory", "diff", "--json", code=1))
    assert found["left"] == ["broker-b", "broker-c"]
    assert "3 hosts" in found["held"]
    assert "accepted: 3 hosts" in f.tool("inventory", "accept")
    f.consumed(*f.rows)
    told = json.loads(f.tool("inventory", "history", "--json"))
    assert [e["boxes"] for e in told["history"]] == [5, 3]
    assert told["status"]["phase"] == "accepted"
    assert (
        "nothing is held back"
        in subprocess.run(
            [sys.executable, "-m", "lapispick", "inventory", "accept"],
            capture_output=True,
            text=True,
            env={**os.environ, **f.environ},
        ).stderr
    )
    assert not (f.folder / "state/accept").exists()


@pytest.mark.parametrize("spoil", ["none", "torn", "flipped"])
def test_a_host_that_starts_with_a_broken_file_runs_on_the_last_good_list(fleet, host, spoil):
    f = fleet()
    f.start(host, "state-folder state")
    f.consumed(*f.brokers)
    kept = f.folder / "state/last-good.jsonl"
    wait_until(kept.exists, "the last good list")
    assert kept.stat().st_mode & 0o77 == 0
    f.host.close()
    f.write("host,amqp_queue\nbroker-a,\n")
    data = kept.read_bytes()
    if spoil == "torn":
        kept.write_bytes(data[:-9])
    elif spoil == "flipped":
        kept.write_bytes(data.replace(b'"jobs"', b'"jobz"', 1))
    f.host = host(environ=f.environ)
    f.seen("inventory-rejected")
    assert "shops.csv:2:1: amqp_queue: is not told" in f.host.log()
    if spoil != "none":
        assert re.search("event=last-good-unusable .*checksum", f.host.log())
        return f.consumed()
    assert re.search(r"event=last-good hosts=2 .*age_s=\d+", f.host.log())
    f.consumed(*f.brokers)
    f.ask("broker-a", "x")
    wait_until(lambda: f.brokers["broker-a"].reply("x"), "the reply")


def test_a_helper_that_dies_is_replaced_and_nothing_else_happens(fleet, host):
    f = fleet()
    f.start(host)
    f.consumed(*f.brokers)
    flow = Flow(f)
    for _ in range(2):
        (child,) = children(f.host.process.pid)
        os.kill(child, signal.SIGKILL)
        wait_until(lambda child=child: children(f.host.process.pid) not in ([], [child]), "another helper")
    f.seen("helper-ended", 2)
    f.rows["broker-b"]["prefetch"] = "9"
    f.write()
    f.seen("inventory-accepted", 2)
    assert f.host.log().count("event=inventory-accepted") == 2
    assert not f.brokers["broker-a"].close_count
    flow.account()
    f.host.terminate()
    assert f.host.process.wait(6) == 0
    assert not Path(f"/proc/{child}").exists()


def children(pid):
    """Return the numbers of a process's children that live."""
    return [
        int(p)
        for p in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()
        if Path(f"/proc/{p}/cmdline").exists() and b"helper" in Path(f"/proc/{p}/cmdline").read_bytes()
    ]


def test_a_drain_goes_on_while_the_list_changes(fleet, host):
    f = fleet()
    f.start(host, stop_ms=4000)
    f.consumed(*f.brokers)
    message = f.ask("broker-b", "hold")
    wait_until(lambda: f.host.executor.runs, "the run")
    f.host.terminate()
    wait_until(lambda: not consumers(f.brokers["broker-a"]), "the end of consuming")
    f.rows.pop("broker-b")
    f.write()
    f.host.executor.end_run(f.host.executor.runs[0].task, result="done")
    wait_until(lambda: message.fate == "ack", "the acknowledgement")
    assert f.host.process.wait(6) == 0
    assert "event=ended unanswered=0" in f.host.log()


def test_the_old_settings_file_is_read_with_a_warning(fleet, host):
    f = fleet()
    old = f.folder / "amqp.toml"
    old.write_text('enabled = true\ninventory = "shops.csv"\ngroup = "shops"\n')
    f.host = host(environ={"LAPISPICK_AMQP": str(old)})
    f.consumed(*f.brokers)
    assert "event=amqp-toml-old" in f.host.log()


OFF = re.compile(
    r"lapispick\.(fleet|cli|fakes|trace|conf\.legacy|host\.(amqp|inventory|names|recorder))"
    r"|immutables|idna|yaml|click|structlog|rich|google|zstandard|google_crc32c|difflib|subprocess|tomllib"
)


def test_a_host_with_all_this_off_imports_nothing_of_it(host):
    h = host(environ={"PYTHONPROFILEIMPORTTIME": "1"})
    g = h.gateway()
    assert g.result(g.request("track", "x")) == "did x"
    loaded = {line.rpartition("|")[2].strip() for line in h.log().splitlines() if line.startswith("import time:")}
    assert "lapispick.conf.settings" in loaded
    assert "lapispick.host.core" in loaded
    assert not [name for name in loaded if OFF.match(name)]


def test_a_faulty_settings_file_ends_the_start_with_every_fault(tmp_path):
    from lapispick.fakes.start_settings import PLATFORM_INFO

    conf, config = tmp_path / "own.conf", tmp_path / "config.json"
    conf.write_text("section amqp\n  enable yes\n  drain 5x\nend\n")
    config.write_text(
        json.dumps(
            {
                "name": "n",
                "listen": "127.0.0.1:0",
                "executor": "127.0.0.1:1",
                "roster": "127.0.0.1:1",
                "store": "127.0.0.1:1",
                "seed": "1",
                "stop_ms": 9,
                "settings": PLATFORM_INFO,
            }
        )
    )
    made = subprocess.run(
        [sys.executable, "-m", "lapispick.host"],
        capture_output=True,
        text=True,
        timeout=20,
        env={**os.environ, "LAPISPICK_CONF": str(conf), "LB_CONFIG": str(config)},
    )
    assert made.returncode == 2
    assert made.stderr.count("event=config-faulty") == 2
    assert "own.conf:2: enable: unknown in section amqp; did you mean enabled?" in made.stderr
    assert "own.conf:3: drain: '5x' is not a span such as 5s; units are ms, s, m, h, d" in made.stderr


@pytest.mark.parametrize("options", [[], ["--load", "3", "--seconds", "1.5"]])
def test_two_commands_of_the_readme_show_something(options):
    made = subprocess.run(
        [sys.executable, "-m", "lapispick", "demo", "--json", *options], capture_output=True, text=True, timeout=60
    )
    found = json.loads(made.stdout)
    assert made.returncode == 0
    assert found["doubles"] == 0
    assert {r["front"] for r in found["outcomes"]} == {"amqp", "json-rpc"}
    assert not any(r["unanswered"] for r in found["outcomes"])
