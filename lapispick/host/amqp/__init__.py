"""The AMQP 0-9-1 front: consumes queues of brokers and passes their messages to the core as requests."""
