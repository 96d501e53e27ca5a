"""The operators' settings file: sections with one directive on each line."""
