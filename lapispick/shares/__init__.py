"""Decisions that each host makes alone from the same lists: which backends each of them uses."""
