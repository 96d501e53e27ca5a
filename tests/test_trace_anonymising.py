"""Tests of pseudonyms in traces."""

import pytest

from lapispick.trace.anonymising import Anonymiser, NameKind, PseudonymConflictError
from lapispick.trace.record_types import Arrival, ExternalEvent, Step
from tests.trace_support import PSEUDONYM_KEY, make_header, request_step


def anonymise(steps, key=PSEUDONYM_KEY):
    return list(Anonymiser(key).replace_steps(steps))


def test_pseudonyms_are_keyed_stable_and_one_to_one():
    accounts = ["shop", "bar", "shop"]
    steps = [
        request_step(number, number + 1, 1, account=account, subject=account.encode())
        for number, account in enumerate(accounts)
    ]
    steps.append(Step(9.0, (), (), (ExternalEvent("reloaded", "127.0.0.1:99"),)))
    anonymous = anonymise(steps)
    arrivals = [note for step in anonymous for note in step.notes if type(note) is Arrival]
    pseudonyms = [arrival.account for arrival in arrivals]
    assert pseudonyms[0] == pseudonyms[2] != pseudonyms[1]
    assert not {"shop", "bar"} & set(pseudonyms)
    assert anonymise(steps) == anonymous
    assert anonymise(steps, PSEUDONYM_KEY + b"x") != anonymous
    assert anonymous[0].events[0].caller != steps[0].events[0].caller
    assert anonymous[3].notes[0].details == ""
    assert len({arrival.subject for arrival in arrivals}) == 2
    header = make_header()
    anonymiser = Anonymiser(PSEUDONYM_KEY, hosts=True)
    anonymiser.replace_header(header)
    assert list(header.sources[0].accounts) == pseudonyms[:2]
    assert header.sources[0].box.startswith("box-")
    assert anonymiser.originals() == {"a", "shop", "bar"}
    assert PSEUDONYM_KEY not in header.SerializeToString()
    with pytest.raises(ValueError, match="16 to 64 bytes, got 3"):
        Anonymiser(b"key")


def test_two_names_with_the_same_pseudonym_are_an_error():
    anonymiser = Anonymiser(PSEUDONYM_KEY)
    pseudonym = anonymiser._names.get(NameKind.ACCOUNT, "shop")
    anonymiser._names._originals[NameKind.ACCOUNT, pseudonym] = "another"
    del anonymiser._names.by_original[NameKind.ACCOUNT, "shop"]
    with pytest.raises(PseudonymConflictError, match="another key"):
        list(anonymiser.replace_steps([request_step(0, 1)]))
