"""Tests of the import check in tools/check_imports.py."""

import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).parent.parent


def test_reports_imported_name(tmp_path):
    """Guards against a check that accepts `from package import Name`."""
    src = tmp_path / "core" / "src" / "banyandale_core"
    src.mkdir(parents=True)
    (src / "errors.py").write_text("class CodedError(Exception): pass\n")
    (src / "user.py").write_text(
        "from banyandale_core.errors import CodedError\n"
        "from banyandale_core import errors\n"
    )
    check = ROOT / "tools" / "check_imports.py"
    result = subprocess.run(
        [sys.executable, check, tmp_path],
        capture_output=True,
        text=True,
        check=False,
    )
    assert result.returncode == 1
    assert "user.py:1" in result.stdout
    assert "user.py:2" not in result.stdout
