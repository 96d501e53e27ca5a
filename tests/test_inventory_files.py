"""Reading inventory files from disk, the state folder after crashes and failed writes, and the helper process."""

import os

import pytest

from lapispick.fleet import files, last_good, snapshot
from lapispick.fleet.errors import StateFolderError
from lapispick.fleet.helper import Helper, handle_message
from lapispick.fleet.messages import Begin, Poll, SaveAccepted
from lapispick.fleet.reading import ReadOptions
from tests.fleet_files import SCHEMA, csv_list, hosts

MAX_BYTES = 1 << 20


def test_a_folder_is_read_in_the_order_of_file_names_without_temporary_files(tmp_path):
    for name in (
        "20.yml",
        "10.csv",
        "x.yml~",
        ".swp.yml",
        "notes.txt",
        "group_vars/all.yml",
        "group_vars/shops/1.yml",
        "host_vars/b.yaml",
        "other/deep.yml",
    ):
        (tmp_path / name).parent.mkdir(parents=True, exist_ok=True)
        (tmp_path / name).write_text(f"# {name}\n")
    file_set = files.read(tmp_path, MAX_BYTES)
    assert [file.name for file in file_set.files] == [
        "10.csv",
        "20.yml",
        "group_vars/all.yml",
        "group_vars/shops/1.yml",
        "host_vars/b.yaml",
    ]
    assert files.read(tmp_path / "20.yml", MAX_BYTES).files[0].name == "20.yml"


@pytest.mark.parametrize(
    ("create", "fault"),
    [
        (lambda path: None, "No such file"),
        (lambda path: os.mkfifo(path), "not a regular file"),
        (lambda path: path.symlink_to(path), "Too many levels"),
        (lambda path: path.write_bytes(b"x" * (MAX_BYTES + 1)), "has 1048577 bytes, expected at most 1048576"),
        (lambda path: path.symlink_to("/dev/zero"), "not a regular file"),
    ],
)
def test_an_unreadable_path_is_a_fault_and_does_not_block(tmp_path, create, fault):
    path = tmp_path / "list.csv"
    create(path)
    (reported,) = files.read(path, MAX_BYTES).faults
    assert fault in str(reported)
    assert str(reported).startswith("list.csv: can't be read")


def test_a_change_within_the_resolution_of_the_clock_is_detected(tmp_path):
    path = tmp_path / "list.csv"
    path.write_text("a")
    # Another write just now may leave the same modification time, so only the contents can show it.
    assert files.signature(path) is None
    os.utime(path, (1, 1))
    assert files.signature(path) is not None
    assert files.signature(path) == files.signature(path)


def load_last_good(folder):
    """Return the last good list that was saved for ``source``, with its header."""
    return last_good.load(folder, "source")


def test_a_truncated_or_corrupt_last_good_list_is_rejected(tmp_path):
    old, new = (snapshot.snapshot_of(hosts(csv_list({"a": n, "b": 1}), "f.csv")) for n in (1, 2))
    assert load_last_good(tmp_path) is None
    last_good.save(tmp_path, "source", old, 5.0, "settled")
    header, loaded = load_last_good(tmp_path)
    assert loaded.digest == old.digest
    assert header.at == 5.0
    assert header.host_count == 2
    path = tmp_path / last_good.LAST_GOOD_FILE
    last_good.save(tmp_path, "source", new, 6.0, "settled")
    contents = path.read_bytes()
    for size in range(len(contents)):
        path.write_bytes(contents[:size])
        with pytest.raises(StateFolderError):
            load_last_good(tmp_path)
    for size in range(0, len(contents), 7):
        path.write_bytes(contents[:size] + bytes([contents[size] ^ 1]) + contents[size + 1 :])
        with pytest.raises(StateFolderError):
            load_last_good(tmp_path)
    path.write_bytes(contents)
    with pytest.raises(StateFolderError, match="expected the list of 'another', got the list of 'source'"):
        last_good.load(tmp_path, "another")


def test_a_failed_write_keeps_the_old_list(tmp_path, monkeypatch):
    old, new = (snapshot.snapshot_of(hosts(csv_list({"a": n}), "f.csv")) for n in (1, 2))
    last_good.save(tmp_path, "source", old, 5.0, "")
    for operation in ("fsync", "replace"):

        def fail(*_):
            raise OSError("no space")

        with monkeypatch.context() as patch:
            patch.setattr(os, operation, fail)
            with pytest.raises(OSError, match="no space"):
                last_good.save(tmp_path, "source", new, 6.0, "")
        assert load_last_good(tmp_path)[1].digest == old.digest
        assert os.listdir(tmp_path) == [last_good.LAST_GOOD_FILE]


def test_the_history_is_bounded_and_truncated_lines_are_skipped(tmp_path):
    for n in range(5):
        last_good.append_history(tmp_path, last_good.HistoryEntry(n, f"{n:032x}", "settled", n), 3)
    path = tmp_path / last_good.HISTORY_FILE
    path.write_bytes(path.read_bytes()[:-20])
    assert [entry.at for entry in last_good.load_history(tmp_path)] == [2, 3]


def make_helper(path, **begin_fields):
    """Return the inventory helper for the list at ``path``."""
    return Helper(Begin(str(path), MAX_BYTES, ReadOptions("shops", SCHEMA), **begin_fields))


def test_the_helper_sends_only_what_changed(tmp_path):
    path = tmp_path / "list.csv"
    ports = {f"b{n}": 1 for n in range(100)}
    path.write_text(csv_list(ports))
    helper = make_helper(path)
    first, *chunks = helper.poll()
    assert first.chunk_count == 4
    assert len(chunks) == 4
    assert sum(len(chunk.updated) for chunk in chunks) == 100
    ports["b7"] = 2
    del ports["b9"]
    path.write_text(csv_list(ports))
    second, *chunks = helper.poll()
    assert [[host.name for host in chunk.updated] or chunk.removed for chunk in chunks] == [["b7"], ["b9"]]
    path.write_text(csv_list(ports)[:-3] + "x,\n")
    third, *chunks = helper.poll()
    assert third.faults
    assert not chunks
    assert not third.digest
    path.write_text(csv_list(ports))
    fourth, *chunks = helper.poll()
    assert fourth.digest == second.digest
    assert not chunks


def test_an_exception_of_the_reader_is_reported_as_a_fault_of_the_list(tmp_path, monkeypatch):
    (tmp_path / "list.csv").write_text(csv_list({"a": 1}))
    helper = make_helper(tmp_path / "list.csv")
    monkeypatch.setattr(helper._reader, "read", lambda _: 1 / 0)
    (polled,) = handle_message(helper, Poll())
    assert "the reader raised ZeroDivisionError" in str(polled.faults[0])
    assert handle_message(helper, Poll())[0].digest


def test_a_state_folder_that_cannot_be_written_is_reported(tmp_path):
    (tmp_path / "list.csv").write_text(csv_list({"a": 1}))
    (tmp_path / "state").write_text("a file")
    helper = make_helper(tmp_path / "list.csv", state_folder=str(tmp_path / "state"))
    digest = helper.poll()[0].digest
    (failure,) = handle_message(helper, SaveAccepted(digest, 1.0, "", {}, {}))
    assert "state" in failure.text
