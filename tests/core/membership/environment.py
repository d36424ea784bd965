"""Adds this folder to the path, so that the steps can import the fakes."""

from __future__ import annotations

from pathlib import Path
import sys

sys.path.append(str(Path(__file__).parent))
