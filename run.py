"""Runs one controller; ``python3 run.py ARGUMENTS`` equals ``dunehold serve ARGUMENTS``."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from dunehold.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main(["serve", *sys.argv[1:]]))
