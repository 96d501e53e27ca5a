"""Overload control inside each worker host: requests are admitted by their value against shadow prices."""

from lapispick.admission import ClassSettings, Settings
from lapispick.admission.controller import Controller

__all__ = ["ClassSettings", "Controller", "Settings"]
