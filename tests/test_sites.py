"""Settings that other deployments bring: what is not there, is off or differs must cost no service."""

import copy

import pytest

from lapispick.host.config import ConfigError, parse
from lapispick.standins.peers import INFO


def settings(**family):
    """Return the usual settings with changes of the server's own properties."""
    info = copy.deepcopy(INFO)
    info["FamilyInfo"].update(family)
    return info


@pytest.mark.parametrize("below", ["off", "tier"])
def test_a_host_without_a_store_serves_and_leaves_calls_out(host, below):
    h = host(info=settings(Below=below, CallsOut=0.0), without=("store",))
    g = h.gateway()
    assert g.result(g.request("track", "plain")) == "did plain"
    assert g.result(g.request("track", "call:200")) == "poorer"
    assert g.code(g.request("book", "call:200", f"{7:032x}")) == -32000  # it ran, and its call can't be left out
    h.reload(without=("store",))
    assert g.result(g.request("track", "again")) == "did again" and not h.store.calls


def test_a_store_is_asked_for_where_all_hosts_share_one(host):
    text = host(started=False).path.read_bytes()
    for below, missing in (("shared", True), ("off", False), ("tier", False)):
        changed = text.replace(b'"shared"', f'"{below}"'.encode()).replace(b'"store"', b'"no store"')
        if missing:
            with pytest.raises(ConfigError, match=r"^store: "):
                parse(changed)
        else:
            assert parse(changed).store_address is None
