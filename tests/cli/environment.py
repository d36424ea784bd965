"""Lets the steps run the control instances of the daemon's tests."""

from __future__ import annotations

from pathlib import Path
import sys

sys.path.append(str(Path(__file__).parents[1] / 'daemon' / 'control'))
