"""Decisions that hosts make on their own and that add up: which backends each of them uses."""
