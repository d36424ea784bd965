"""Makes the control instances of the daemon's tests importable."""

from __future__ import annotations

from pathlib import Path
import sys

sys.path.append(str(Path(__file__).parents[1] / 'daemon' / 'control'))
