"""Tests that the program contains the texts that the patches of faulty hosts replace."""

import pytest

from lapispick.fakes import program_patches
from lapispick.fakes.program_patches import PACKAGE_FOLDER, Patch, PatchError, PatchTarget, make_program_folder

TARGETS = {name: value for name, value in vars(program_patches).items() if isinstance(value, PatchTarget)}


@pytest.mark.parametrize("name", TARGETS)
def test_each_patch_target_exists(name):
    target = TARGETS[name]
    assert target.text in (PACKAGE_FOLDER / target.file).read_text()


@pytest.mark.parametrize(
    "target",
    [PatchTarget("host/core/dispatcher.py", "no such text"), PatchTarget("host/none.py", "import logging\n")],
)
def test_a_patch_of_a_missing_target_is_an_error(target, tmp_path):
    with pytest.raises(PatchError):
        make_program_folder(tmp_path / "program", [Patch(target, "")])
