"""What CI does with the list of tests that are known to fail."""

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

TEST = "tests/test_known_red.py::test_a_line_passes_over_its_test"


@pytest.mark.parametrize(
    "text,told",
    [
        (f"{TEST} | a cause | 27\n", None),
        ("", None),
        (f"{TEST} | a cause\n", "not 'test | cause | issue'"),
        ("tests/test_known_red.py::test_nothing | a cause | 27\n", "no such test"),
        (f"{TEST} | a cause | 27\n" * 4, "4 lines"),
    ],
)
def test_a_line_passes_over_its_test(tmp_path, text, told):
    root = Path(__file__).parent.parent
    (tmp_path / ".ci").mkdir()
    (tmp_path / "tests").mkdir()
    shutil.copy(root / ".ci" / "known-red", tmp_path / ".ci")
    (tmp_path / "tests" / "test_known_red.py").write_text("def test_a_line_passes_over_its_test():\n    pass\n")
    (tmp_path / "KNOWN-RED.txt").write_text(text)
    ran = subprocess.run([sys.executable, ".ci/known-red"], cwd=tmp_path, capture_output=True, text=True)
    if told:
        assert ran.returncode and told in ran.stderr
    else:
        assert not ran.returncode and ran.stdout.split() == [TEST] * bool(text)
