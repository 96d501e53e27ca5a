"""Runs the command line for ``python -m lapispick``; ``python -m lapispick.host`` runs a worker host."""

from lapispick.cli.main import main

main()
