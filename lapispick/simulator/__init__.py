"""Runs the decision module under the simulator, over standard input and output."""
