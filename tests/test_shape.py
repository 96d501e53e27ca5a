"""Limits on the decision module, and the README's example."""

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
CONTROL = (ROOT / "lapispick/control.py").read_text().splitlines()


def test_the_module_stays_readable_in_an_hour():
    assert sum(1 for line in CONTROL if line.strip()) <= 750
    assert max(map(len, CONTROL)) <= 110


def test_the_module_names_its_interface_and_reads_nothing_outside():
    assert "lapispick/interface.py" in "\n".join(CONTROL[:3])
    imports = [line for line in CONTROL if re.match(r"(from|import) ", line)]
    allowed = ("__future__", "random", "collections", "heapq", "itertools", "math", "lapispick.interface",
               "lapispick.state")
    assert all(line.split()[1].startswith(allowed) for line in imports)


def test_the_readme_example_runs(capsys):
    code = re.search(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S).group(1)
    exec(compile(code, "README", "exec"), {})
    assert "start 1" in capsys.readouterr().out
