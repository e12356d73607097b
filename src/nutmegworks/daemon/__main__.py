"""Runs ``nutmegd`` as a module."""
from __future__ import annotations

from nutmegworks.daemon import main

if __name__ == '__main__':
    main.main()
