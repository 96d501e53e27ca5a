"""Runs the decision module for the simulator, over standard input and output."""
