"""Sequential test of whether a mean difference is above zero, valid at any time. No I/O and no clock.

For n independent normal differences with mean m <= 0, standard deviation s and sum S, exp(l*S - l*l*n*s*s/2) is a test
martingale for every l > 0. Its mixture over l with a half normal distribution has a closed form in S and V = n*s*s. By
Ville's inequality the probability that it ever exceeds 1/a is at most a, so the test may be evaluated after each slice
and still errs at the stated rate (Robbins, Annals of Mathematical Statistics 41, 1970; Howard, Ramdas, McAuliffe,
Sekhon, Annals of Statistics 49, 2021). The average over several mixture widths is a test martingale too. For means of
many requests with an estimated standard deviation the bound holds asymptotically (Waudby-Smith, Arbour, Sinha, Kennedy,
Ramdas, Annals of Statistics 52, 2024); ``benchmarks/rollout.py`` measures the actual error rate.

A difference compares two groups at the same time, so effects that are equal in both cancel. The groups' mean
difference before the change (the offset) is subtracted. It is estimated from only n0 earlier slices, so after n slices
the variance V is replaced by V * (1 + n / n0).
"""

from __future__ import annotations

from math import erfc, exp, log, pi, sqrt

import msgspec

MIXTURE_WIDTHS = (0.3, 1.0, 3.0, 10.0, 30.0)  # in slices; width w is most sensitive at a variance of about w slices
MAX_LOG_EVIDENCE = 600.0  # keeps its exponential within the range of a float


class Series(msgspec.Struct):
    """Count, sum and sum of squares of a series of differences."""

    count: int = 0
    total: float = 0.0
    total_squares: float = 0.0

    def add(self, value: float) -> None:
        """Add one difference."""
        self.count += 1
        self.total += value
        self.total_squares += value * value

    @property
    def mean(self) -> float:
        """Return the mean of the differences, 0 if there are none."""
        return self.total / self.count if self.count else 0.0

    @property
    def squared_deviations(self) -> float:
        """Return the sum of the squared deviations from the mean."""
        return max(0.0, self.total_squares - self.total * self.total / self.count) if self.count else 0.0


def pooled_variance(*series: Series, floor: float = 0.0) -> float:
    """Return the variance of one difference, estimated from several series that may have different means."""
    degrees_of_freedom = sum(each.count - 1 for each in series if each.count)
    if degrees_of_freedom <= 0:
        return float("inf")
    return max(floor, sum(each.squared_deviations for each in series) / degrees_of_freedom)


def _log_twice_phi(z: float) -> float:
    """Return the logarithm of 2 * Phi(z); for large negative z by its asymptotic tail, before erfc underflows."""
    return log(erfc(-z / sqrt(2))) if z > -8 else -z * z / 2 - log(-z) + 0.5 * log(2 / pi)


def log_evidence(total: float, total_variance: float, variance: float) -> float:
    """Return the logarithm of the evidence that a mean is above zero; 0 is no evidence, less is evidence against it.

    ``total`` is the sum of the differences, ``total_variance`` the variance of that sum and ``variance`` the variance
    of one difference.
    """
    if not 0 < total_variance < float("inf"):
        return 0.0
    logarithms = []
    for width in MIXTURE_WIDTHS:
        mixture = width * variance
        z = total / sqrt(total_variance + mixture)
        log_ratio = 0.5 * log(mixture / (total_variance + mixture))
        logarithms.append(log_ratio + z * z / 2 + _log_twice_phi(z))
    largest = max(logarithms)
    mean = sum(exp(logarithm - largest) for logarithm in logarithms) / len(logarithms)
    return min(MAX_LOG_EVIDENCE, largest + log(mean))


def confidence_radius(count: int, total_variance: float, variance: float, alpha: float) -> float:
    """Return the radius of an always-valid confidence interval of a mean of ``count`` differences, at level ``alpha``.

    The probability that the true mean is ever outside of the interval is at most ``alpha``.
    """
    if not count or not 0 < total_variance < float("inf"):
        return float("inf")
    radii = []
    for width in MIXTURE_WIDTHS:
        mixture = width * variance
        widened = total_variance + mixture
        radii.append(sqrt(widened * (2 * log(1 / alpha) + log(widened / mixture))))
    return min(radii) / count


def offset_inflation(count: int, baseline_count: int) -> float:
    """Return the factor by which the variance grows as the offset is estimated from ``baseline_count`` slices only."""
    return 1.0 + count / baseline_count if baseline_count else float("inf")
