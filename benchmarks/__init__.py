"""Benchmarks: separate scripts that print their results and store nothing. CI runs none of them."""
