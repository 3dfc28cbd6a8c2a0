"""The edge role loads only the modules that it needs, as each restart pays for them."""

import subprocess
import sys
import unittest
from pathlib import Path

UNUSED_MODULES = ("pollengate_settings", "httpx", "sismic", "pollengated.compose")
DEPLOYED = Path(__file__).parent.parent / "deploy" / "requirements.txt"


class EdgeImportTest(unittest.TestCase):
    """Tests of the modules that are loaded before the role serves."""

    def test_modules_of_other_roles_are_not_loaded(self) -> None:
        code = (
            "import sys, pollengated.main, pollengated.edge.compose;"
            f"print([name for name in {UNUSED_MODULES!r} if name in sys.modules])"
        )
        finished = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, check=True, text=True
        )
        self.assertEqual("[]", finished.stdout.strip())

    def test_pydantic_is_not_deployed(self) -> None:
        """Litestar loads it at each start if it is installed."""
        self.assertNotIn("pydantic", DEPLOYED.read_text())


if __name__ == "__main__":
    unittest.main()
