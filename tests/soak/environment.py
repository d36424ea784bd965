"""Lets the steps run the soak and the stand-ins of the platform's tests."""

from __future__ import annotations

from pathlib import Path
import sys

sys.path.append(str(Path(__file__).parent))
sys.path.append(str(Path(__file__).parents[1] / 'platform'))
