"""Puts every folder of tests on the path: what tests share lies beside them and is imported by its name.

Those names must differ from each other; names of test files need not (import mode importlib).
"""

import sys
from pathlib import Path

HERE = Path(__file__).parent
sys.path += sorted(str(folder) for folder in {HERE, *(path.parent for path in HERE.rglob("*.py"))})
