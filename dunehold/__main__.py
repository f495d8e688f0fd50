"""Entry point of ``python3 -m dunehold``."""

import sys

from dunehold.cli import main

sys.exit(main())
