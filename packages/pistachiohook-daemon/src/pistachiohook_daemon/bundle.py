"""One file with the compiled code of all modules of a role.

Without it, a start looks for each of about 300 modules in the file system,
which takes a quarter of the processor time of the start and so delays the
recovery after all processes have stopped. The build writes the file; modules
that it lacks are imported as usual.

This module imports as little as possible, since it and what it imports are
imported from their own files.
"""

from __future__ import annotations

from importlib import import_module
from importlib.machinery import ModuleSpec
from importlib.machinery import SourceFileLoader
import os
import sys

from .build_files import read_build_file
from .build_files import write_build_file

# See :mod:`.build_files`.
TYPE_CHECKING = False

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence
    from types import CodeType
    from types import ModuleType

    #: Path of the source file and code of each module, by name.
    CodeTable = dict[str, tuple[str, CodeType]]

#: File name of the source of a package.
PACKAGE_FILE = '__init__.py'


class BundleImporter:
    """Finder and loader of the modules in a bundle.

    :param codes: source path and code of each module; each entry is removed
        when its module is loaded, which frees memory
    """

    def __init__(self, codes: CodeTable) -> None:
        self._codes = codes

    def find_spec(
        self,
        name: str,
        path: Sequence[str] | None = None,
        target: ModuleType | None = None,
    ) -> ModuleSpec | None:
        """Return the specification of a module in the bundle."""
        del path, target
        found = self._codes.get(name)
        if found is None:
            return None
        origin = found[0]
        folder, file = os.path.split(origin)
        is_package = file == PACKAGE_FILE
        spec = ModuleSpec(
            name,
            self,  # type: ignore[arg-type]  # its base class imports typing
            origin=origin,
            is_package=is_package,
        )
        spec.has_location = True
        if is_package:
            # Extension modules of the package are found here.
            spec.submodule_search_locations = [folder]
        return spec

    def create_module(self, spec: ModuleSpec) -> ModuleType | None:
        """Let the import system create the module."""
        del spec
        return None

    def exec_module(self, module: ModuleType) -> None:
        """Run the code of a module."""
        assert module.__spec__ is not None
        _, code = self._codes.pop(module.__spec__.name)
        exec(code, vars(module))


def load_bundle(path: str) -> str:
    """Import modules from a bundle from now on, when it holds them.

    :param path: file that :func:`write_bundle` wrote
    :returns: why the file is not used; empty when it is used or missing
    """
    try:
        origin, codes = read_build_file(path)
    except FileNotFoundError:
        return ''
    except (OSError, ValueError) as error:
        return f'{path}: {error}'
    if origin != _describe_origin(path):
        return f'{path}: written at another place or by another Python'
    sys.meta_path.insert(0, BundleImporter(codes))
    return ''


def write_bundle(path: str, names: Iterable[str]) -> int:
    """Import modules and write the code of all loaded modules to a file.

    :param path: file to write
    :param names: names of the modules to import
    :returns: number of modules in the file
    """
    for name in names:
        import_module(name)
    codes: CodeTable = {}
    for name, module in tuple(sys.modules.items()):
        spec = getattr(module, '__spec__', None)
        if spec is None or spec.name != name or spec.origin is None:
            continue
        if isinstance(spec.loader, SourceFileLoader):
            code = spec.loader.get_code(name)
            assert code is not None
            codes[name] = (spec.origin, code)
    write_build_file(path, (_describe_origin(path), codes))
    return len(codes)


def _describe_origin(path: str) -> tuple[str, str, str]:
    """Describe what the paths and the code in a bundle depend on."""
    folder = os.path.dirname(os.path.abspath(path))
    return folder, sys.prefix, sys.version


if __name__ == '__main__':
    number = write_bundle(sys.argv[1], sys.argv[2:])
    print(f'{sys.argv[1]}: code of {number} modules')
