"""Tests the linear program with cases solved by hand, the adoption of learned prices, and the price test."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lapispick.admission import Outcome, RunCompleted
from lapispick.admission.shadow_prices import SAMPLE_SIZE, RequestType, SampledRequest, ShadowPrices, solve_prices
from tests.property_support import cpu_time_bounded


def solve(types, occupancy_budget, cost_budget):
    """Return the prices for request types given as tuples of (weight, value, occupancy_ms, cost)."""
    return solve_prices([RequestType(*fields) for fields in types], occupancy_budget, cost_budget)


def test_prices_are_zero_while_both_budgets_suffice():
    assert solve([(1, 5, 10, 2), (3, 1, 10, 2)], 100, 100) == (0, 0)


def test_occupancy_budget_is_priced_at_the_marginal_type():
    # The type (value 10, occupancy 10) fits completely, (4, 10) fits only half: a unit of occupancy is worth 4/10.
    prices = solve([(1, 10, 10, 1), (1, 4, 10, 1)], 15, 1e9)
    assert prices.occupancy == pytest.approx(0.4)
    assert prices.cost == 0


def test_cost_budget_is_priced_at_the_marginal_type():
    prices = solve([(1, 6, 1, 2), (1, 6, 1, 6)], 1e9, 5)
    assert prices.occupancy == 0
    assert prices.cost == pytest.approx(1.0)


def test_both_budgets_have_a_price_where_both_bind():
    # Both types are half admitted: 8 = 2 * 3 + 1 * 2 and 7 = 1 * 3 + 2 * 2, so the prices are 3 and 2.
    prices = solve([(1, 8, 2, 1), (1, 7, 1, 2)], 1.5, 1.5)
    assert prices.occupancy == pytest.approx(3.0)
    assert prices.cost == pytest.approx(2.0)


def test_slow_type_of_equal_value_is_priced_out():
    price = solve([(18, 10, 15, 1), (2, 10, 200, 1)], 200, 1e9).occupancy
    assert price * 15 <= 10
    assert price * 200 > 10


request_types = st.builds(RequestType, *[st.floats(0.1, 50) for _ in range(4)])


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(request_types, min_size=1, max_size=5), st.floats(0.5, 500), st.floats(0.5, 500))
@cpu_time_bounded
def test_prices_are_a_minimum_of_the_dual_and_admit_all_within_budget(types, occupancy_budget, cost_budget):
    occupancy_price, cost_price = solve_prices(types, occupancy_budget, cost_budget)
    assert occupancy_price >= 0
    assert cost_price >= 0
    assert any(
        kind.value >= (occupancy_price * kind.occupancy_ms + cost_price * kind.cost) * (1 - 1e-6) for kind in types
    )
    needed_occupancy = sum(kind.weight * kind.occupancy_ms for kind in types)
    needed_cost = sum(kind.weight * kind.cost for kind in types)
    if needed_occupancy <= occupancy_budget and needed_cost <= cost_budget:
        assert all(kind.value >= occupancy_price * kind.occupancy_ms + cost_price * kind.cost - 1e-6 for kind in types)

    def dual(price_of_occupancy, price_of_cost):
        surplus = (kind.value - price_of_occupancy * kind.occupancy_ms - price_of_cost * kind.cost for kind in types)
        admitted = sum(kind.weight * max(0, excess) for kind, excess in zip(types, surplus, strict=True))
        return price_of_occupancy * occupancy_budget + price_of_cost * cost_budget + admitted

    # None of these other pairs of prices gives a lower dual value.
    for other in [
        (0, 0),
        (occupancy_price * 1.1 + 0.01, cost_price),
        (occupancy_price, cost_price * 1.1 + 0.01),
        (occupancy_price * 0.9, cost_price),
        (occupancy_price, cost_price * 0.9),
    ]:
        assert dual(occupancy_price, cost_price) <= dual(*other) * (1 + 1e-6) + 1e-6


def observe_sample(prices, kinds, interval_ms=10):
    """Let the prices observe a full sample that cycles through ``kinds``, tuples of (class, value, occupancy_ms)."""
    for number in range(SAMPLE_SIZE):
        class_index, value, occupancy_ms = kinds[number % len(kinds)]
        prices.observe(number * interval_ms, 0, SampledRequest(class_index, value, occupancy_ms, 0))


def test_learned_prices_are_adopted_when_better_on_the_sample_and_frozen():
    prices = ShadowPrices()
    observe_sample(prices, [(0, 1, 100), (1, 10, 100)])  # 100 requests per second need 10 slots, 4 are available
    assert "adopted" in prices.learn(4)
    assert 0.01 < prices.occupancy_price <= 0.1 + 1e-9
    adopted_price = prices.occupancy_price
    observe_sample(prices, [(0, 9, 10)])
    assert prices.learn(1) is None
    assert prices.occupancy_price == adopted_price


def test_learned_prices_that_admit_no_more_value_are_not_adopted():
    prices = ShadowPrices()
    observe_sample(prices, [(0, 1, 100)])  # with a single type, a price can't improve the selection
    assert "kept" in prices.learn(4)
    assert prices.frozen
    assert prices.occupancy_price == 0


def test_sample_is_taken_only_under_pressure_and_at_full_speed(make_harness):
    harness = make_harness()
    for _ in range(5):
        request = harness.request()
        harness.step(request)
        harness.step(RunCompleted(request.id, Outcome.OK, 20), at=harness.now + 20)
    assert not harness.state.shadow_prices.sample
    harness.step(*[harness.request(deadline_at=harness.now + 3000) for _ in range(12)])
    assert harness.state.shadow_prices.sample
    warming_up = make_harness(warming_up=True)
    warming_up.step(*[warming_up.request(deadline_at=3000) for _ in range(12)])
    assert not warming_up.state.shadow_prices.sample
