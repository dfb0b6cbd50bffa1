"""Start a controller from a checkout, with the libraries that the build put under target/deps and
the bytecode that it put under target/pycache."""

import sys
from importlib.machinery import SOURCE_SUFFIXES, FileFinder, SourceFileLoader
from pathlib import Path
from types import CodeType

ROOT = Path(__file__).resolve().parent
OWN = str(ROOT / "dappledrum")


class Compiled(SourceFileLoader):
    """Looks for bytecode of this project's modules, and of no others, under target/pycache.

    A controller's machine has no disk to keep bytecode on: compiling the sources anew was half of
    the processor time of each start, which on a third of a core is most of a second.
    """

    def get_code(self, fullname: str) -> CodeType:
        """As ever; what does not belong to the source as it is now is not used."""
        before, sys.pycache_prefix = sys.pycache_prefix, str(ROOT / "target" / "pycache")
        try:
            return super().get_code(fullname)
        finally:
            sys.pycache_prefix = before


def finder(path: str) -> FileFinder:
    """Finder of modules in the project's own directories."""
    if path != str(ROOT) and path != OWN and not path.startswith(OWN + "/"):
        raise ImportError(path)
    return FileFinder(path, (Compiled, SOURCE_SUFFIXES))


sys.path_hooks.insert(0, finder)
sys.path_importer_cache.pop(str(ROOT), None)
sys.path.insert(0, str(ROOT / "target" / "deps"))

from dappledrum.main import main  # noqa: E402 - the path must be set first

if __name__ == "__main__":
    sys.exit(main())
