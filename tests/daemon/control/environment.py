"""Lets the steps import what runs beside them."""

from __future__ import annotations

from pathlib import Path
import sys

sys.path.append(str(Path(__file__).parent))
