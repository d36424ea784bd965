"""Adds the modules of the soak and of the platform's tests to the path."""

from __future__ import annotations

from pathlib import Path
import sys

sys.path.append(str(Path(__file__).parent))
sys.path.append(str(Path(__file__).parents[1] / 'platform'))
