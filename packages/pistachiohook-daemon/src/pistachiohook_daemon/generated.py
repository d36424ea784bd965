"""Compiled methods of attrs classes, kept from the build.

attrs writes and compiles the methods of each class at every start, which takes
a good part of it, and after a stop of all processes each moment counts. Python
keeps compiled modules in the same way.
"""

from __future__ import annotations

from functools import partial
from importlib import import_module
from importlib.util import MAGIC_NUMBER
from importlib.util import source_hash
import marshal
from pathlib import Path
import re
import sys
from typing import TYPE_CHECKING

from attr import _make

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from types import CodeType

    #: Code by the name under which attrs compiles it and its text.
    Kept = dict[tuple[str, str], CodeType]

    #: Compiles a text, as the builtin function does.
    Compile = Callable[[str, str, str], CodeType]

#: Length of the check sum that follows Python's magic number, in bytes.
SUM_LENGTH = 8

#: Number that attrs mixes into the hashes of a class; each process has
#: another, and any will do.
SALT = re.compile(r'^ +-?\d+,$', re.MULTILINE)


def load_generated(path: Path) -> str:
    """Let attrs find code in a file before it compiles any.

    Code is found by its text, so that a file of another version of the
    project is merely of less use.

    :returns: why the file is not used; empty when it is, or there is none
    """
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return ''
    except OSError as error:
        return f'{path}: {error}'
    length = len(MAGIC_NUMBER)
    body = data[length + SUM_LENGTH :]
    if data[:length] != MAGIC_NUMBER:
        return f'{path}: of another version of Python'
    if data[length : length + SUM_LENGTH] != source_hash(body):
        return f'{path}: damaged'
    _replace_compile(partial(_find_code, marshal.loads(body)))
    return ''


def write_generated(path: Path, modules: Iterable[str]) -> int:
    """Keep the code of all attrs classes that modules make.

    :param modules: names of modules that are not imported yet
    :returns: number of classes
    """
    kept: Kept = {}
    _replace_compile(partial(_keep_code, kept))
    for name in modules:
        import_module(name)
    body = marshal.dumps(kept)
    path.write_bytes(MAGIC_NUMBER + source_hash(body) + body)
    return len(kept)


def _find_code(kept: Kept, script: str, name: str, mode: str) -> CodeType:
    # Each class is made once.
    found = kept.pop(_make_key(script, name), None)
    return compile(script, name, mode) if found is None else found


def _keep_code(kept: Kept, script: str, name: str, mode: str) -> CodeType:
    code: CodeType = compile(script, name, mode)
    kept[_make_key(script, name)] = code
    return code


def _make_key(script: str, name: str) -> tuple[str, str]:
    return name, SALT.sub('', script)


def _replace_compile(replacement: Compile) -> None:
    """Let attrs compile with another function than the builtin one."""
    # attrs looks the builtin function up by this name.
    vars(_make)['compile'] = replacement


if __name__ == '__main__':
    number = write_generated(Path(sys.argv[1]), sys.argv[2:])
    print(f'{sys.argv[1]}: methods of {number} classes')
