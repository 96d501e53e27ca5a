"""The type of numpy arrays in the trace package."""

from __future__ import annotations

from typing import Any

import numpy as np

Array = np.ndarray[Any, Any]
