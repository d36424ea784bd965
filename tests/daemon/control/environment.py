"""Adds this folder to the path, so that steps can import control_cluster."""

from __future__ import annotations

from pathlib import Path
import sys

sys.path.append(str(Path(__file__).parent))
