"""Journal of one replica: snapshot, log, term and vote in one file.

The file begins with the snapshot. Appends are synced before they are
reported. Compaction writes a new file, syncs it, renames it over the old one
and syncs the folder, so that after a kill either file is there as a whole.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from ..codec import Codec
from ..consensus.entries import Entry
from ..consensus.entries import HardState
from ..consensus.entries import SavedState
from ..consensus.entries import Snapshot
from ..failures import Failure
from .records import decode_records
from .records import encode_record

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..consensus.events import Persist
    from .files import FileOperations

#: Name of the file that holds the journal.
JOURNAL = 'journal'

#: Name of the file in which a new journal is made.
JOURNAL_NEW = 'journal.new'


@attrs.frozen
class Beginning:
    """First record of a journal.

    :param identity: identity of the replica
    :param cluster: identity of the founder; empty before it is known
    :param hard_state: term and vote
    :param snapshot: what stands for the entries before
    :param commit: index up to which entries were known to be committed
    """

    identity: str
    cluster: str
    hard_state: HardState
    snapshot: Snapshot
    commit: int = 0


@attrs.frozen
class Addition:
    """Any later record of a journal.

    :param hard_state: new term and vote; ``None`` when they stay
    :param entries: entries that follow, in the place of all from the first
        one's index on
    :param commit: index up to which entries were known to be committed
    """

    hard_state: HardState | None = None
    entries: tuple[Entry, ...] = ()
    commit: int = 0


_CODEC = Codec({1: Beginning, 2: Addition})


@attrs.define
class Journal:
    """An open journal; after a failure it takes nothing more.

    :param files: operations on the files of the data folder
    :param length: length of the file, in bytes
    :param failure: why the journal has stopped
    """

    files: FileOperations
    length: int = 0
    failure: Failure | None = None

    def append(self, addition: Addition) -> Result[None, Failure]:
        """Append one record and sync it."""
        record = encode_record(_CODEC.encode(addition), self.length)
        return self.run(
            ('append to journal', lambda: self.files.append(JOURNAL, record)),
            ('sync journal', lambda: self.files.sync(JOURNAL)),
            length=self.length + len(record),
        )

    def replace(self, saved: SavedState) -> Result[None, Failure]:
        """Write a new journal in the place of this one."""
        content = _encode_saved(saved)
        files = self.files
        return self.run(
            ('write new journal', lambda: files.write(JOURNAL_NEW, content)),
            ('sync new journal', lambda: files.sync(JOURNAL_NEW)),
            ('rename new journal', lambda: files.rename(JOURNAL_NEW, JOURNAL)),
            ('sync data folder', files.sync_folder),
            length=len(content),
        )

    def run(
        self, *steps: tuple[str, Callable[[], None]], length: int
    ) -> Result[None, Failure]:
        """Carry out steps in order; the first that fails stops the journal.

        :param steps: name and operation of each
        :param length: length of the file afterwards, in bytes
        """
        if self.failure is not None:
            return Failed(self.failure)
        for name, step in steps:
            try:
                step()
            except OSError as error:
                self.failure = Failure(name, JOURNAL, str(error))
                return Failed(self.failure)
        self.length = length
        return Success(None)


def load_journal(
    journal: Journal,
) -> Result[SavedState | None, Failure]:
    """Read a journal and make it ready for appends.

    A torn last record is cut off.

    :param journal: a journal that nothing has been appended to yet
    :returns: what the journal holds; ``None`` when there is no file
    """
    try:
        data = journal.files.read(JOURNAL)
    except OSError as error:
        return Failed(Failure('read journal', JOURNAL, str(error)))
    if data is None:
        return Success(None)
    match decode_records(data, JOURNAL):
        case Success(records):
            pass
        case Failed(failure):
            return Failed(failure)
    if records.length < len(data):
        cut = _cut_journal(journal, records.length)
        if isinstance(cut, Failed):
            return cut
    journal.length = records.length
    return _decode_saved(records.bodies)


def save(
    journal: Journal, identity: str, persist: Persist
) -> Result[None, Failure]:
    """Make durable what a replica asks for.

    :param identity: identity of the replica
    """
    if persist.snapshot is None:
        return journal.append(
            Addition(persist.hard_state, persist.entries, persist.commit)
        )
    return journal.replace(
        SavedState(
            identity,
            persist.cluster,
            persist.hard_state,
            persist.snapshot,
            persist.entries,
            persist.commit,
        )
    )


def _cut_journal(journal: Journal, length: int) -> Result[None, Failure]:
    return journal.run(
        (
            'cut torn record',
            lambda: journal.files.truncate(JOURNAL, length),
        ),
        ('sync journal', lambda: journal.files.sync(JOURNAL)),
        length=length,
    )


def _encode_saved(saved: SavedState) -> bytes:
    beginning = Beginning(
        saved.identity,
        saved.cluster,
        saved.hard_state,
        saved.snapshot,
        saved.commit,
    )
    content = encode_record(_CODEC.encode(beginning), 0)
    if saved.entries:
        addition = Addition(None, saved.entries)
        content += encode_record(_CODEC.encode(addition), len(content))
    return content


def _decode_saved(
    bodies: tuple[bytes, ...],
) -> Result[SavedState | None, Failure]:
    if not bodies:
        return Failed(Failure('read journal', JOURNAL, 'no beginning'))
    messages = []
    for body in bodies:
        match _CODEC.decode(body, JOURNAL):
            case Success(message):
                messages.append(message)
            case Failed(failure):
                return Failed(failure)
    beginning, *additions = messages
    if not isinstance(beginning, Beginning):
        return Failed(Failure('read journal', JOURNAL, 'no beginning'))
    return _join_records(beginning, additions)


def _join_records(
    beginning: Beginning, additions: list[Addition]
) -> Result[SavedState | None, Failure]:
    entries: list[Entry] = []
    first = beginning.snapshot.index + 1
    for addition in additions:
        if not addition.entries:
            continue
        kept = addition.entries[0].index - first
        if not 0 <= kept <= len(entries):
            return Failed(
                Failure(
                    'read journal',
                    JOURNAL,
                    f'entry {addition.entries[0].index} does not follow '
                    f'entry {first + len(entries) - 1}',
                )
            )
        entries[kept:] = addition.entries
    states = [
        addition.hard_state
        for addition in additions
        if addition.hard_state is not None
    ]
    return Success(
        SavedState(
            beginning.identity,
            beginning.cluster,
            states[-1] if states else beginning.hard_state,
            beginning.snapshot,
            tuple(entries),
            max((beginning.commit, *(one.commit for one in additions))),
        )
    )
