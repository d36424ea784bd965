"""File operations of a disk that may be full."""

from __future__ import annotations

import errno

import attrs


def limit_disk(context, name, files):
    """Return file operations that fail while ``context.full`` says so.

    ``context.full`` maps the name of an instance to its failing operations. A
    torn append leaves a part of its data.
    """

    def fail_when_full(operation, perform):
        def run(*arguments):
            failing = context.full.get(name, ())
            if operation == 'append' and 'torn append' in failing:
                file, data = arguments
                perform(file, data[: len(data) // 2])
                raise make_error()
            if operation in failing:
                raise make_error()
            return perform(*arguments)

        return run

    return attrs.evolve(
        files,
        **{
            operation: fail_when_full(operation, getattr(files, operation))
            for operation in ('write', 'append', 'truncate', 'sync')
        },
    )


def make_error():
    return OSError(errno.ENOSPC, 'No space left on device')
