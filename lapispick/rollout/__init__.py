"""Staged rollout of a change to a fleet: generations, stages, pacing and canary analysis. No I/O and no clock."""
