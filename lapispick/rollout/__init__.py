"""Staged rollouts of a change through a fleet: generations, stages, pacing and canary analysis. No I/O, no clock."""
