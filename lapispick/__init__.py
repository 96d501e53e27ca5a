"""Overload control inside each server: admission by worth against priced slots."""

from lapispick.control import Controller
from lapispick.interface import ClassSettings, Settings

__all__ = ["ClassSettings", "Controller", "Settings"]
