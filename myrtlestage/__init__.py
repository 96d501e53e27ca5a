"""Overload control inside each server: admission by worth against priced slots."""

from myrtlestage.control import Controller
from myrtlestage.interface import ClassSettings, Settings

__all__ = ["ClassSettings", "Controller", "Settings"]
