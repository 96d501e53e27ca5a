"""The operators' settings file: one directive a line, in sections."""
