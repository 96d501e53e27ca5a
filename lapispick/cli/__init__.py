"""The operators' command line. No module that a worker host imports may import this package."""
