"""Start a controller from a checkout, with the libraries that the build put under target/deps."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent / "target" / "deps"))

from dappledrum.main import main  # noqa: E402 - the path must be set first

if __name__ == "__main__":
    sys.exit(main())
