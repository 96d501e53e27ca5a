"""The worker host: the decision module on real sockets."""
