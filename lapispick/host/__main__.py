"""Entry point of the worker host, ``python -m lapispick.host``; environment variables name its configuration."""

from __future__ import annotations

import logging
import os
import sys

from lapispick.conf import settings as operator_settings
from lapispick.conf.sections import Settings
from lapispick.file_errors import InvalidFileError
from lapispick.host.assembly import Host
from lapispick.host.config import ConfigError, load
from lapispick.host.logs import configure_logging, log
from lapispick.host.signals import SignalSocket

LOG = "host"
INVALID_CONFIGURATION_STATUS = 2


def _load_operator_settings() -> Settings:
    """Read the operators' settings, with those of the legacy file if there is one; raises ``InvalidFileError``."""
    settings = operator_settings.load()
    if not operator_settings.has_legacy_file():
        return settings
    from lapispick.conf import legacy

    path = legacy.legacy_path(os.environ)
    assert path is not None
    log(LOG, logging.WARNING, "amqp-toml-old", file=path, use=operator_settings.settings_path())
    return legacy.apply_legacy_file(settings, path)


def main() -> int:
    """Run the worker host, and return the exit status of the process."""
    configure_logging()
    # The handlers come first: a SIGHUP without a handler ends the process; until here the start command ignores it.
    signals = SignalSocket()
    try:
        config = load()
        settings = _load_operator_settings()
        logging.getLogger().setLevel(settings.log.level.upper())
        Host(config, settings, signals).run()
    except ConfigError as err:
        log(LOG, logging.ERROR, "config-faulty", fault=err)
        return INVALID_CONFIGURATION_STATUS
    except InvalidFileError as err:
        for fault in err.faults:
            log(LOG, logging.ERROR, "config-faulty", fault=fault)
        return INVALID_CONFIGURATION_STATUS
    return 0


if __name__ == "__main__":
    sys.exit(main())
