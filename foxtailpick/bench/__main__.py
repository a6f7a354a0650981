"""Run the benchmarks: `python -m foxtailpick.bench [NAME ...]`.

A benchmark is a module of this package with a function `measure` that returns
a list of tables.
"""

import importlib
import pkgutil
import sys
import typing

from foxtailpick import bench


def _load_benchmarks() -> dict[str, typing.Any]:
    found = {}
    for info in pkgutil.iter_modules(bench.__path__):
        if info.name.startswith('__'):
            continue
        module = importlib.import_module(f'{bench.__name__}.{info.name}')
        if hasattr(module, 'measure'):
            found[info.name] = module
    return found


def main(names: list[str]) -> int:
    """Run the given benchmarks, or all of them by default.

    :param names: module names in `foxtailpick.bench`.
    :returns: exit status, 2 for an unknown name.
    """
    benchmarks = _load_benchmarks()
    unknown = sorted(set(names) - set(benchmarks))
    if unknown:
        print(
            f'expected one of {", ".join(benchmarks)}, '
            f'got {", ".join(unknown)}',
            file=sys.stderr,
        )
        return 2
    for name in names or benchmarks:
        for table in benchmarks[name].measure():
            print('\n'.join(table.format_lines()), flush=True)
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
