"""Cache of the compiled methods of attrs classes, written by the build.

attrs generates and compiles the methods of each class at every start, which
takes a large part of the start time and so delays the recovery after all
processes have stopped. The cache must be in use before attrs is imported,
whose own classes have such methods too.
"""

from __future__ import annotations

import builtins
from functools import partial
from importlib import import_module
from pathlib import Path
import re
import sys
from typing import Any
from typing import TYPE_CHECKING

from .build_files import read_build_file
from .build_files import write_build_file

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from types import CodeType

    #: Compiled code by file name and source text, both given by attrs.
    CodeTable = dict[tuple[str, str], CodeType]

    #: A function that attrs calls as the builtin ``compile``.
    CompileFunction = Callable[..., CodeType]

_compile: CompileFunction = compile

#: Start of the file names that attrs gives to generated code.
GENERATED_NAME = '<attrs generated '

#: Line with the number that attrs mixes into the hashes of a class. It differs
#: between processes and may be any number, so that it isn't part of the key.
HASH_SALT = re.compile(r'^ +-?\d+,$', re.MULTILINE)


def load_generated(path: Path) -> str:
    """Make attrs look up code in a cache file before compiling it.

    Code is looked up by its source text, so that a file written by another
    version of the project is safe; it only has fewer hits.

    :param path: file that :func:`write_generated` wrote
    :returns: why the file is not used; empty when it is used or missing
    """
    try:
        codes = read_build_file(str(path))
    except FileNotFoundError:
        return ''
    except (OSError, ValueError) as error:
        return f'{path}: {error}'
    _replace_compile(partial(_find_code, codes))
    return ''


def write_generated(path: Path, modules: Iterable[str]) -> int:
    """Import modules and write the code of their attrs classes to a file.

    :param path: file to write
    :param modules: names of modules that have not been imported yet
    :returns: number of classes
    """
    codes: CodeTable = {}
    _replace_compile(partial(_record_code, codes))
    for name in modules:
        import_module(name)
    write_build_file(str(path), codes)
    return len(codes)


def _find_code(
    codes: CodeTable, source: Any, name: str, *arguments: Any, **options: Any
) -> CodeType:
    if str(name).startswith(GENERATED_NAME):
        # Each class is created only once; removing the entry frees memory.
        found = codes.pop(_make_key(source, name), None)
        if found is not None:
            return found
    return _compile(source, name, *arguments, **options)


def _record_code(
    codes: CodeTable, source: Any, name: str, *arguments: Any, **options: Any
) -> CodeType:
    code = _compile(source, name, *arguments, **options)
    if str(name).startswith(GENERATED_NAME):
        codes[_make_key(source, name)] = code
    return code


def _make_key(source: str, name: str) -> tuple[str, str]:
    return name, HASH_SALT.sub('', source)


def _replace_compile(replacement: CompileFunction) -> None:
    """Replace the builtin ``compile``.

    attrs has no hook for it, and creates classes while it is imported, so that
    a global variable of its module could not be set in time.
    """
    vars(builtins)['compile'] = replacement


if __name__ == '__main__':
    number = write_generated(Path(sys.argv[1]), sys.argv[2:])
    print(f'{sys.argv[1]}: methods of {number} classes')
