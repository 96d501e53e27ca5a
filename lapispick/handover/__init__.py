"""Two processes as one worker host, for as long as an upgrade lasts: state and decisions, no I/O and no clock."""
