"""A discrete-event simulation of clusters too large for sockets: the real decision code on one simulated clock."""
