"""What is known of keyed requests, kept across restarts. Not joined to the host yet (docs/DURABLE-DESIGN.md)."""
