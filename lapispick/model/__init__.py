"""Discrete-event simulation of clusters too large to run on sockets: the real decision code on a simulated clock."""
