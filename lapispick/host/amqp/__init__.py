"""The AMQP 0-9-1 front."""
