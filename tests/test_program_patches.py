"""The places of the program that the emulated fleet's faulty hosts change exist."""

import pytest

from lapispick.fakes import program_patches
from lapispick.fakes.program_patches import PACKAGE_FOLDER, Patch, PatchError, Place, program

PLACES = {name: value for name, value in vars(program_patches).items() if isinstance(value, Place)}


@pytest.mark.parametrize("name", PLACES)
def test_each_changed_place_exists(name):
    place = PLACES[name]
    assert place.text in (PACKAGE_FOLDER / place.file).read_text()


@pytest.mark.parametrize(
    "place", [Place("host/core/dispatcher.py", "no such text"), Place("host/none.py", "import logging\n")]
)
def test_a_patch_of_a_place_that_does_not_exist_is_an_error(place, tmp_path):
    with pytest.raises(PatchError):
        program(tmp_path / "program", [Patch(place, "")])
