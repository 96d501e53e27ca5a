"""Messages and shared budget of the two processes of a worker host during an upgrade. No I/O, no clock."""
