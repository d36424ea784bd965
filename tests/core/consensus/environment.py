"""Behave environment: makes the virtual disk importable."""

from __future__ import annotations

from pathlib import Path
import sys

sys.path.append(str(Path(__file__).parents[1] / 'storage'))
