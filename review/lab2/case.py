"""Plays the script of one case: python3 -m review.lab2.case NUMBER."""
from __future__ import annotations

import importlib.util
import pathlib
import sys

CANNOT_RUN = 2


def main(number: str) -> None:
    path = pathlib.Path(__file__).resolve().parents[1] / number / 'play.py'
    spec = importlib.util.spec_from_file_location('play', path)
    if spec is None or spec.loader is None:
        sys.exit(CANNOT_RUN)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    module.main(path.parent)


if __name__ == '__main__':
    try:
        main(sys.argv[1])
    except Exception as error:
        print(f'cannot run: {error!r}')
        sys.exit(CANNOT_RUN)
