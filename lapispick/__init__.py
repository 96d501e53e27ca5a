"""Overload control inside each server: admission by value against shadow prices."""

from lapispick.admission import ClassSettings, Settings
from lapispick.admission.controller import Controller

__all__ = ["ClassSettings", "Controller", "Settings"]
