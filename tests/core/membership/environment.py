"""Lets the steps import the fakes beside them."""

from __future__ import annotations

from pathlib import Path
import sys

sys.path.append(str(Path(__file__).parent))
