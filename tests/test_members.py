"""Members and turns, the decisions alone: named properties by seeds, on the model's clock."""

import json
import random
from collections import deque

import pytest
from click.testing import CliRunner

from lapispick.cli.main import cli
from lapispick.conf.settings import Inventory
from lapispick.conf.settings import Members as Settings
from lapispick.fleet.snapshot import EMPTY, Difference
from lapispick.host.members import Members
from lapispick.host.scheduler import Loop
from lapispick.members import messages
from lapispick.members.member import Bounds, Node
from lapispick.members.membership_view import State
from lapispick.members.stores import Store
from lapispick.model import properties, script
from lapispick.model.world import World, members

LONG = {"one_holder": 24, "lists_change": 6, "no_false_death": 4, "converge": 4, "bounded": 1, "one_owner": 4}


@pytest.mark.parametrize(
    "name,seeds",
    [
        (name, range(at, min(at + 4, LONG.get(name, 3))))
        for name in properties.ALL
        for at in range(0, LONG.get(name, 3), 4)
    ],
)
def test_what_must_hold_does(name, seeds):
    assert properties.check([name], seeds) == []


def test_a_run_of_the_model_is_the_same_again_word_by_word():
    found = []
    for _ in range(2):
        world = World(
            7,
            20,
            members([f"disp-{n:04}" for n in range(1, 21)]),
            script.parse("5s kill 20% for 20s\n8s part disp-0001,disp-0002 for 10s"),
            loss=0.1,
        )
        world.run(40.0)
        found.append((world.sent, world.bytes, [(at, by, change) for at, by, change in world.changes]))
    assert found[0] == found[1] and found[0][2]


def test_a_box_that_leaves_is_left_and_not_dead():
    names = ["a", "b", "c"]
    nodes = {n: Node(n, "f", 1, names, "l", {}, Bounds(), random.Random(n), 0.0) for n in names}
    for send in nodes["a"].view.leave():
        nodes[send.to].take(1.0, messages.decode(messages.encode(send.word)))
    assert nodes["b"].view.state("a") is State.LEFT and nodes["b"].view.seen() == 2
    assert nodes["b"].changes()[-1].cause == "a says so"


def test_a_whole_view_tells_a_newcomer_all_that_is_held():
    names = [f"m{n}" for n in range(30)]
    one, new = (Node(n, "f", 1, names, "l", {}, Bounds(), random.Random(n), 0.0) for n in ("m0", "m29"))
    for n in range(1, 20):
        one.view.heard(1.0, messages.Rumour(f"m{n}", "dead", 0, 3), "m5")
    one.say(1.0, "store", "10.0.0.9:80", 4.0, 20)
    whole = messages.decode(messages.encode(one.whole(2.0)))
    assert new.merge(2.0, whole) and new.view.seen() == one.view.seen() == 11
    assert new.signals.weighed(2.0, "store", "10.0.0.9:80").value == 4.0
    assert not new.merge(3.0, messages.Whole("other", "m0", 1, 0))


@pytest.mark.parametrize(
    "text,what",
    [
        ("10s fly all", "line 1: fly is none of"),
        ("x stop all", "line 1: 'x' is not a span"),
        ("1s loss all for 2s", "takes one value"),
        ("\n1s stop 5% for 1s 3", "line 2: stop takes no value"),
        ("1s", "line 1"),
    ],
)
def test_a_faulty_script_names_its_line(text, what):
    with pytest.raises(ValueError, match=what):
        script.parse(text)


def test_the_models_commands(tmp_path):
    (tmp_path / "s").write_text("5s kill 20% for 100s\n")
    runner, rows = CliRunner(), tmp_path / "rows.json"
    done = runner.invoke(
        cli,
        ["model", "run", "--size", "10", "--seconds", "40", "--want", "3", "--json", "--script", str(tmp_path / "s")],
    )
    found = json.loads(done.output)
    assert (found["killed"], found["noticed"], found["false_deaths"], found["overlaps"]) == (2, 2, 0, 0)
    assert found["turns"] > 5
    done = runner.invoke(cli, ["model", "sweep", "--sizes", "5,12", "--seconds", "5", "--save", str(rows)])
    assert done.exit_code == 0 and len(json.loads(rows.read_text())) == 2, done.output
    assert runner.invoke(cli, ["model", "plot", str(rows), str(tmp_path / "a.png")]).exit_code == 0
    assert (tmp_path / "a.png").read_bytes()[:4] == b"\x89PNG"
    assert runner.invoke(cli, ["model", "check", "--seeds", "2", "refutes", "leases_end"]).exit_code == 0
    assert runner.invoke(cli, ["model", "check", "nothing"]).exit_code == 2
    (tmp_path / "s").write_text("5s fly all\n")
    assert runner.invoke(cli, ["model", "run", "--script", str(tmp_path / "s")]).exit_code == 2


def test_what_is_kept_of_boxes_goes_with_them():
    peer = Members(Loop(), Settings(listen="127.0.0.1:9300"), Inventory(), "a", 1, lambda: (), 1 << 16)
    peer._rates["gone"], peer._why["gone"] = (1, 1), deque([(1.0, "left", "")])
    peer._listed(EMPTY, Difference())
    assert not peer._rates and not peer._why


def test_a_store_is_slow_beside_its_usual_self_and_a_lost_call_counts_as_long():
    store = Store()
    assert store.fact(0.0) is None
    for n in range(100):
        store.took(n * 0.1, 20.0, True)
    value, count = store.fact(10.0)
    assert value == 1.0 and 20 < count < 50
    for n in range(20):
        store.took(10.0 + n * 0.1, 0.5, n % 2 == 0)  # refused at once is no quick answer
    assert store.fact(12.0)[0] > 1.5
    for n in range(60):
        store.took(12.0 + n * 0.1, 200.0, True)
    assert store.fact(18.0)[0] > 2.0
    assert store.fact(1000.0) is None
