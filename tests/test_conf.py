"""The settings file: its syntax, its value types and its faults, and the commands that read it."""

import json
import os
import subprocess
import sys

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lapispick.conf import parser, settings, value_types
from lapispick.conf.sections import AmqpSettings
from lapispick.fakes.start_settings import PLATFORM_INFO
from lapispick.file_errors import InvalidFileError


def write_files(folder, **files):
    """Write files named after the keyword arguments, and return the path of ``a.conf``."""
    for name, text in files.items():
        (folder / f"{name}.conf").write_text(text)
    return folder / "a.conf"


def test_sections_units_quotes_and_includes_are_read(tmp_path):
    path = write_files(
        tmp_path,
        a='include more/*.conf\nsection inventory # here\n path "my list.yml"\n settle 200ms\n'
        ' loss 17%\n size-most 2MB\n end-marker "# end"\nend\n',
    )
    (tmp_path / "more").mkdir()
    (tmp_path / "more/x.conf").write_text("section amqp\n enabled yes\n drain 1m\nend\n")
    parsed = settings.parse(path)
    inventory = parsed.inventory
    assert inventory.path == str(tmp_path / "my list.yml")
    assert parsed.amqp == AmqpSettings(True, 60.0)
    assert inventory.settle_s == 0.2
    assert inventory.max_loss_fraction == 0.17
    assert inventory.max_bytes == 2 << 20
    assert inventory.end_marker == "# end"


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ("path x\n", "a.conf:1: path: not allowed outside of a section"),
        (
            "section inventory\npath x\n",
            "a.conf:1: section: inventory is not closed; expected a line 'end' before the end",
        ),
        (
            "section inventory\nsection amqp\nend\n",
            "a.conf:2: section: inventory is not closed; expected a line 'end' before this section",
        ),
        ("end\n", "a.conf:1: end: not allowed outside of a section"),
        ("section inventry\nend\n", "a.conf:1: section: unknown section inventry; did you mean inventory?"),
        (
            "section amqp\nenable yes\nend\n",
            "a.conf:2: enable: unknown directive in section amqp; did you mean enabled?",
        ),
        ("section amqp\nenabled maybe\nend\n", "a.conf:2: enabled: expected yes or no, got 'maybe'"),
        ("section amqp\nenabled\nend\n", "a.conf:2: enabled: expected one value, got 0 values"),
        ("section amqp\nenabled yes\nend\n", "a.conf:1: enabled: requires path in section inventory, which is not set"),
        (
            "section inventory\nloss 120%\nend\n",
            "a.conf:2: loss: expected a percentage from 0% to 100% such as 17%, got '120%'",
        ),
        (
            "section inventory\nloss nan\nend\n",
            "a.conf:2: loss: expected a percentage from 0% to 100% such as 17%, got 'nan'",
        ),
        ("section inventory\nsettle 5 s\nend\n", "a.conf:2: settle: expected one value, got 2 values"),
        (
            "section inventory\nsettle 5q\nend\n",
            "a.conf:2: settle: expected a duration such as 5s (units: ms, s, m, h, d), got '5q'",
        ),
        ("section inventory\nlook 1ms\nend\n", "a.conf:2: look: expected a value from 0.02 to 3600, got '1ms'"),
        ("section inventory\nsettle 9s\nend\n", "a.conf:1: settle-most: expected at least settle (9s), got 3s"),
        (
            "section inventory\ndelimiter dot\nend\n",
            "a.conf:2: delimiter: expected one of auto, comma, semicolon, tab, bar, got 'dot'",
        ),
        ("section inventory\ngroup 'a\nend\n", "a.conf:2: group: can't be split into words: No closing quotation"),
        ("section inventory\ngroup a\ngroup b\nend\n", "a.conf:3: group: duplicate directive, first used at"),
        ("include no.conf\n", "a.conf:1: include: "),
        ("include a.conf\n", "a.conf:1: include: a file includes itself"),
    ],
)
def test_faults_name_file_line_and_directive(tmp_path, text, fault):
    with pytest.raises(InvalidFileError) as caught:
        settings.parse(write_files(tmp_path, a=text))
    assert any(f"{tmp_path}/{fault}" in str(f) for f in caught.value.faults), caught.value.faults


def test_all_faults_are_reported_at_once(tmp_path):
    with pytest.raises(InvalidFileError) as caught:
        settings.parse(write_files(tmp_path, a="section amqp\nx 1\ndrain y\nend\nsection log\nlevel loud\nend\n"))
    assert len(caught.value.faults) == 3


def test_the_depth_of_includes_is_limited(tmp_path):
    for n in range(12):
        write_files(tmp_path, **{f"f{n}": f"include f{n + 1}.conf\n"})
    with pytest.raises(InvalidFileError, match="expected an include depth of at most 8 files, got 9 with"):
        settings.parse(tmp_path / "f0.conf")


def test_formatted_settings_are_parsed_as_the_same_settings(tmp_path):
    parsed = settings.parse(write_files(tmp_path, a='section inventory\npath "it\'s here.yml"\nlook 70ms\nend\n'))
    formatted = write_files(tmp_path, a="\n".join(settings.format_settings(parsed)) + "\n")
    assert settings.parse(formatted) == parsed
    # The default file of the repository has no faults.
    assert settings.parse(settings.settings_path({})) == settings.load({})
    assert not settings.load({}).amqp.enabled


@given(st.text(max_size=200))
def test_the_parser_accepts_any_text_without_an_exception(text):
    conf_parser = parser.Parser(lambda path: [(path, text)])
    conf_parser.parse_files("x")
    assert isinstance(conf_parser.sections, list)


@given(st.text(max_size=12))
def test_value_types_raise_only_value_errors_with_a_message(value):
    for value_type in (
        value_types.duration,
        value_types.byte_size,
        value_types.fraction,
        value_types.count,
        value_types.boolean,
        value_types.text,
        value_types.path,
    ):
        try:
            value_type(value)
        except ValueError as err:
            assert str(err)


def run_lapispick(*arguments, **environ):
    return subprocess.run(
        [sys.executable, "-m", "lapispick", *arguments],
        capture_output=True,
        text=True,
        timeout=30,
        env={**os.environ, **environ},
    )


def test_the_config_command_checks_and_shows_settings(tmp_path):
    path = write_files(tmp_path, a="section amqp\ndrain 5s\nend\n")
    assert run_lapispick("config", "check", "--conf", str(path)).returncode == 0
    assert json.loads(run_lapispick("config", "show", "--json", LAPISPICK_CONF=str(path)).stdout)["amqp"]["drain"] == 5
    result = run_lapispick("config", "check", "--conf", str(write_files(tmp_path, a="x\n")), "--json")
    assert result.returncode == 2
    assert "outside of a section" in json.loads(result.stdout)["faults"][0]
    assert "_LAPISPICK_COMPLETE" in run_lapispick("completion", "bash").stdout
    assert run_lapispick("config", "shw").returncode == 2


def test_the_inventory_command_lists_checks_and_compares(tmp_path):
    old, new = tmp_path / "1.csv", tmp_path / "2.csv"
    header = "host,amqp_queue,amqp_port,amqp_password\n"
    old.write_text(header + "a,q,1,s3cret\nA.,r,1,s3cret\nb,q,2,x\n")
    new.write_text(header + "a,q,1,s3cret\nb,q,3,x\nc,q,2,x\n")
    conf = write_files(tmp_path, a="section inventory\npath 1.csv\ngroup shops\nend\n")
    options = ("--conf", str(conf))
    result = run_lapispick("inventory", "list", "--path", str(old), "--json", *options)
    hosts = json.loads(result.stdout)
    assert [host["name"] for host in hosts] == ["a", "b"]
    assert "s3cret" not in result.stdout
    assert hosts[0]["spellings"] == ["A.", "a"]
    assert (
        "one host under several spellings: A., a"
        in run_lapispick("inventory", "check", "--path", str(old), *options).stdout
    )
    result = run_lapispick("inventory", "diff", str(old), str(new), *options)
    assert result.returncode == 1
    assert "joined   c" in result.stdout
    assert "moved    b (b:2 -> b:3)" in result.stdout
    assert "queue r left" in result.stdout
    assert run_lapispick("inventory", "diff", str(old), str(old), *options).returncode == 0
    old.write_text(header + "a,,x,\n")
    result = run_lapispick("inventory", "check", "--path", str(old), *options)
    assert result.returncode == 1
    assert "1.csv:2:3: amqp_port: expected a whole number from 1 to 65535, got 'x'" in result.stderr
    result = run_lapispick("inventory", "watch", "--path", str(new), "--seconds", "2.2", *options)
    assert "level=info event=inventory-accepted" in result.stderr
    assert "hosts=3" in result.stderr
    assert run_lapispick("inventory", "history").returncode == 3


def check_list(tmp_path, *rows):
    """Check a list of a group that no consumer reads; return the process."""
    (tmp_path / "list.csv").write_text("host,group,lapispick_zone\n" + "".join(f"{row}\n" for row in rows))
    conf = write_files(tmp_path, a="section inventory\npath list.csv\ngroup shops\nend\n")
    return run_lapispick("inventory", "check", "--group", "dispatch", "--conf", str(conf))


def test_the_inventory_command_rejects_one_host_with_two_values_under_two_spellings(tmp_path):
    names = ("disp-07.pipera.example.org", "DISP-07.pipera.example.org.")
    result = check_list(tmp_path, f"{names[0]},dispatch,pipera", f"{names[1]},dispatch,berceni")
    assert result.returncode == 1
    assert f"lapispick_zone: {names[0]} has 'pipera' here, but 'berceni' at list.csv:3:3" in result.stderr
    for zone in ("pipera", ""):
        result = check_list(tmp_path, f"{names[0]},dispatch,pipera", f"{names[1]},dispatch,{zone}")
        assert result.returncode == 0
        assert "one host under several spellings" in result.stdout


def test_a_host_with_a_faulty_settings_file_logs_every_fault_and_exits(tmp_path):
    conf = tmp_path / "own.conf"
    config = tmp_path / "config.json"
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
    process = subprocess.run(
        [sys.executable, "-m", "lapispick.host"],
        capture_output=True,
        text=True,
        timeout=20,
        env={**os.environ, "LAPISPICK_CONF": str(conf), "LB_CONFIG": str(config)},
    )
    assert process.returncode == 2
    assert process.stderr.count("event=config-faulty") == 2
    assert "own.conf:2: enable: unknown directive in section amqp; did you mean enabled?" in process.stderr
    drain_fault = "own.conf:3: drain: expected a duration such as 5s (units: ms, s, m, h, d), got '5x'"
    assert drain_fault in process.stderr
