"""The linear program against cases solved by hand, guarded adoption, and the price test through ``step``."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lapispick.admission.controller import SAMPLE_SIZE, ShadowPrices, solve_prices


def test_no_price_while_both_budgets_have_room():
    assert solve_prices([(1, 5, 10, 2), (3, 1, 10, 2)], 100, 100) == (0, 0)


def test_hold_budget_prices_at_the_marginal_type():
    # 1 of (value 10, hold 10) fits whole; (4, 10) fits half, so a unit of hold is worth 4/10.
    hold, cost = solve_prices([(1, 10, 10, 1), (1, 4, 10, 1)], 15, 1e9)
    assert (hold, cost) == (pytest.approx(0.4), 0)


def test_cost_budget_prices_at_the_marginal_type():
    hold, cost = solve_prices([(1, 6, 1, 2), (1, 6, 1, 6)], 1e9, 5)
    assert (hold, cost) == (0, pytest.approx(1.0))


def test_both_budgets_bind():
    # Both types half admitted: 8 = 2h + 1c and 7 = 1h + 2c, so h = 3, c = 2.
    hold, cost = solve_prices([(1, 8, 2, 1), (1, 7, 1, 2)], 1.5, 1.5)
    assert (hold, cost) == (pytest.approx(3.0), pytest.approx(2.0))


def test_a_slot_hog_of_equal_worth_is_priced_out():
    hold, _ = solve_prices([(18, 10, 15, 1), (2, 10, 200, 1)], 200, 1e9)
    assert hold * 15 <= 10 and hold * 200 > 10


types = st.lists(st.tuples(*[st.floats(0.1, 50) for _ in range(4)]), min_size=1, max_size=5)


@settings(derandomize=True, max_examples=200)
@given(types, st.floats(0.5, 500), st.floats(0.5, 500))
def test_prices_never_reject_everything_while_the_budget_has_room(kinds, hold_budget, cost_budget):
    ph, pc = solve_prices(kinds, hold_budget, cost_budget)
    assert ph >= 0 and pc >= 0
    assert any(v >= (ph * h + pc * c) * (1 - 1e-6) for _, v, h, c in kinds)
    needs_hold = sum(w * h for w, _, h, _ in kinds)
    needs_cost = sum(w * c for w, _, _, c in kinds)
    if needs_hold <= hold_budget and needs_cost <= cost_budget:
        assert all(v >= ph * h + pc * c - 1e-6 for _, v, h, c in kinds)

    # No other pair of prices may give a lower dual value.
    def dual(a, b):
        return a * hold_budget + b * cost_budget + sum(w * max(0, v - a * h - b * c) for w, v, h, c in kinds)

    for a, b in [(0, 0), (ph * 1.1 + 0.01, pc), (ph, pc * 1.1 + 0.01), (ph * 0.9, pc), (ph, pc * 0.9)]:
        assert dual(ph, pc) <= dual(a, b) * (1 + 1e-6) + 1e-6


def fill(prices, spec, gap=10):
    for i in range(SAMPLE_SIZE):
        cls, value, hold = spec[i % len(spec)]
        prices.observe(i * gap, 0, (cls, value, hold, 0))


def test_learned_prices_are_adopted_when_better_on_the_sample_and_freeze():
    p = ShadowPrices()
    fill(p, [(0, 1, 100), (1, 10, 100)])  # 100 a second, 10 slots' worth of hold asked, 4 there
    assert "adopted" in p.settle(4)
    assert 0.01 < p.hold_price <= 0.1 + 1e-9
    before = p.hold_price
    fill(p, [(0, 9, 10)])
    assert p.settle(1) is None and p.hold_price == before


def test_prices_that_do_not_help_are_not_adopted():
    p = ShadowPrices()
    fill(p, [(0, 1, 100)])  # one type: a price can ration nothing
    assert "kept" in p.settle(4)
    assert p.frozen and p.hold_price == 0


def test_a_sample_is_taken_only_under_pressure_and_warm(rig):
    r = rig()
    for _ in range(5):
        q = r.request()
        r.step(q)
        r.step(type_end(q), at=r.now + 20)
    assert not r.control.prices.sample
    r.step(*[r.request(deadline_at=r.now + 3000) for _ in range(12)])
    assert r.control.prices.sample
    cold = rig(warming_up=True)
    cold.step(*[cold.request(deadline_at=3000) for _ in range(12)])
    assert not cold.control.prices.sample


def type_end(q):
    from lapispick.admission import Outcome, RunCompleted

    return RunCompleted(q.id, Outcome.OK, 20)
