"""Traces: compact, versioned and indexed files of all inputs and outputs of the decision module."""
