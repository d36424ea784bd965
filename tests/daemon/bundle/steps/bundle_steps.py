"""Steps for the bundle of modules that the build writes."""

from __future__ import annotations

import json
from pathlib import Path
import shutil
import subprocess
import sys
import tempfile

from behave import given
from behave import then
from behave import when

ROLES = 'pistachiohook_daemon.passthrough'

#: Loads the bundle, imports a module, and prints why loading failed, and for
#: each module imported since whether it came from the bundle, and its file.
PROGRAM = """
import json, sys
from importlib import import_module
from pistachiohook_daemon.bundle import BundleImporter
from pistachiohook_daemon.bundle import load_bundle

reason = load_bundle(sys.argv[1])
before = set(sys.modules)
import_module(sys.argv[2])
sources = {}
for name in set(sys.modules) - before:
    module = sys.modules[name]
    spec = getattr(module, '__spec__', None)
    if spec is not None and str(spec.origin).endswith('.py'):
        bundled = isinstance(spec.loader, BundleImporter)
        sources[name] = bundled, module.__file__
print(json.dumps([reason, sources]))
"""


def run(*arguments):
    command = [sys.executable, *map(str, arguments)]
    return subprocess.run(
        command, capture_output=True, text=True, check=True
    ).stdout


@given('a bundle with the modules of control')
def write_bundle(context):
    folder = Path(tempfile.mkdtemp())
    context.add_cleanup(shutil.rmtree, folder)
    context.path = folder / 'control.bundle'
    run('-m', 'pistachiohook_daemon.bundle', context.path, f'{ROLES}.control')


@given('the bundle was written by another Python version')
def change_version(context):
    data = context.path.read_bytes()
    context.path.write_bytes(b'\0\0\r\n' + data[4:])


@given('the bundle is damaged')
def damage(context):
    data = context.path.read_bytes()
    context.path.write_bytes(data[:100] + b'\0' + data[101:])


@given('the bundle is truncated')
def truncate(context):
    context.path.write_bytes(context.path.read_bytes()[:1000])


@given('the bundle was moved to another folder')
def move(context):
    folder = context.path.parent / 'other'
    folder.mkdir()
    context.path = context.path.rename(folder / context.path.name)


@given('the bundle is missing')
def remove(context):
    context.path.unlink()


@when('a process loads the bundle and imports the role')
def import_role(context, role='control'):
    output = run('-c', PROGRAM, context.path, f'{ROLES}.{role}')
    context.reason, context.sources = json.loads(output)
    assert context.sources


@when('a process loads the bundle and imports the role of the balancer')
def import_other_role(context):
    import_role(context, 'balancer')


@then('no module was imported from its own file')
def check_all_bundled(context):
    unbundled = [name for name, (is_, _) in context.sources.items() if not is_]
    assert not unbundled, unbundled


@then('some modules were imported from their own files')
def check_some_bundled(context):
    bundled = [is_ for is_, _ in context.sources.values()]
    assert True in bundled
    assert False in bundled


@then('all modules were imported from their own files')
def check_none_bundled(context):
    assert not any(is_ for is_, _ in context.sources.values())


@then('the file of each bundled module is its source')
def check_files(context):
    missing = [
        file for _, file in context.sources.values() if not Path(file).exists()
    ]
    assert not missing, missing


@then('loading the bundle reported no failure')
def check_no_reason(context):
    assert not context.reason, context.reason


@then('loading the bundle reported a failure that contains "{part}"')
def check_reason(context, part):
    assert part in context.reason, context.reason
