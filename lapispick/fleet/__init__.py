"""The inventory: reads host lists that configuration tools write, versions them, accepts and applies changes."""
