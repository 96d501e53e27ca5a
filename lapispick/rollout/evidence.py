"""A sequential test of whether a mean difference is above zero, valid at any time. No I/O and no clock.

For independent normal differences with mean m <= 0 and spread s, exp(l*S - l*l*n*s*s/2) of their sum S is a test
martingale for every l > 0. Mixed over l by a half normal distribution it has a closed form in S and V = n*s*s, and by
Ville's inequality it passes 1/a ever with a chance of at most a: it can be watched all the time and still errs at the
stated rate (Robbins, Annals of Mathematical Statistics 41, 1970; Howard, Ramdas, McAuliffe, Sekhon, Annals of
Statistics 49, 2021). Several widths are averaged, which is a test martingale too. For means of many requests with an
estimated spread it holds in the limit (Waudby-Smith, Arbour, Sinha, Kennedy, Ramdas, Annals of Statistics 52, 2024);
the rate that it errs at here is measured.

A difference is of two groups at the same time, so what strikes both alike cancels. The groups' difference before
the change is subtracted; that offset is known from n0 earlier slices only, so after n slices V is taken as V * (1 + n
/ n0).
"""

from __future__ import annotations

from math import erfc, exp, log, pi, sqrt

import msgspec

MIXTURE_WIDTHS = (0.3, 1.0, 3.0, 10.0, 30.0)  # slices; width w is sharpest at a variance of about w slices
MAX_LOG_EVIDENCE = 600.0  # the exponential of more does not fit a float


class Series(msgspec.Struct):
    """The moments of a series of differences."""

    count: int = 0
    total: float = 0.0
    total_squares: float = 0.0

    def add(self, value: float) -> None:
        """Add a difference."""
        self.count += 1
        self.total += value
        self.total_squares += value * value

    @property
    def mean(self) -> float:
        """Return their mean; 0 for none."""
        return self.total / self.count if self.count else 0.0

    @property
    def squared_deviations(self) -> float:
        """Return the sum of squares about the mean."""
        return max(0.0, self.total_squares - self.total * self.total / self.count) if self.count else 0.0


def pooled_variance(*series: Series, floor: float = 0.0) -> float:
    """Return the variance of one difference, from several series that may have different means."""
    degrees_of_freedom = sum(each.count - 1 for each in series if each.count)
    if degrees_of_freedom <= 0:
        return float("inf")
    return max(floor, sum(each.squared_deviations for each in series) / degrees_of_freedom)


def _log_twice_phi(z: float) -> float:
    """Return the logarithm of 2 * Phi(z), for large negative z by its tail."""
    return log(erfc(-z / sqrt(2))) if z > -8 else -z * z / 2 - log(-z) + 0.5 * log(2 / pi)


def log_evidence(total: float, total_variance: float, variance: float) -> float:
    """Return the logarithm of the evidence that a mean is above zero; 0 is none, below 0 is some against it.

    ``total`` is the sum of the differences, ``total_variance`` its variance, ``variance`` that of one difference.
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
    mean = sum(exp(each - largest) for each in logarithms) / len(logarithms)
    return min(MAX_LOG_EVIDENCE, largest + log(mean))


def confidence_radius(count: int, total_variance: float, variance: float, alpha: float) -> float:
    """Return how far a mean of ``count`` may be from the true one, at any time, but for a chance of ``alpha``."""
    if not count or not 0 < total_variance < float("inf"):
        return float("inf")
    radii = []
    for width in MIXTURE_WIDTHS:
        mixture = width * variance
        widened = total_variance + mixture
        radii.append(sqrt(widened * (2 * log(1 / alpha) + log(widened / mixture))))
    return min(radii) / count


def offset_inflation(count: int, baseline_count: int) -> float:
    """Return by how much the variance grows because the offset is known from ``baseline_count`` slices only."""
    return 1.0 + count / baseline_count if baseline_count else float("inf")
