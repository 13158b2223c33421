#!/usr/bin/env python3
"""Checks that a package includes only packages that stand before it."""
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
ORDER = re.search(
    r"set\(PIMENTOGRADE_PACKAGES ([^)]*)\)", (ROOT / "CMakeLists.txt").read_text()
).group(1).split()
INCLUDE = re.compile(r'^#include "([a-z_]+)/', re.M)


def faults():
    for path in sorted((ROOT / "src").glob("*/*.[ch]pp")):
        package = path.parent.name
        if package not in ORDER:
            yield f"{path.relative_to(ROOT)}: package {package} is not listed"
            continue
        for included in INCLUDE.findall(path.read_text()):
            if included not in ORDER:
                yield f"{path.relative_to(ROOT)}: unknown package {included}"
            elif ORDER.index(included) > ORDER.index(package):
                yield f"{path.relative_to(ROOT)}: includes higher {included}"


def main():
    found = list(faults())
    print("\n".join(found) if found else "layers: ok")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
