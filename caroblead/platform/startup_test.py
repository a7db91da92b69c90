"""Tests of what a start of the node program costs: a killed node pays for it before it serves."""

import subprocess
import sys

# Libraries of the command line and of development, and the packages of the product's own interface.
UNNEEDED = (
    "caroblead.config",
    "caroblead.gate",
    "caroblead.placer",
    "caroblead.policy",
    "caroblead.tools",
    "cyclopts",
    "hypothesis",
    "matplotlib",
    "numpy",
    "pydantic",
    "rich",
    "sortedcontainers",
)
LIST_MODULES = "import sys, caroblead.platform.serve; print('\\n'.join(sys.modules))"


def test_serving_path_imports_no_module_that_it_does_not_need():
    command = [sys.executable, "-c", LIST_MODULES]
    printed = subprocess.run(command, check=True, capture_output=True, text=True).stdout
    loaded = set(printed.split())
    assert "caroblead.node.program" in loaded
    assert loaded.isdisjoint(UNNEEDED)
