"""Runs ``nutmeg`` as a module."""
from __future__ import annotations

from nutmegworks.cli import main

if __name__ == '__main__':
    main.main()
