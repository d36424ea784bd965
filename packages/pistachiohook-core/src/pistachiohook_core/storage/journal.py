"""Journal of one replica: snapshot, log, term and vote in one file.

The first record holds the snapshot, each later one an update. An append
returns only once it is synced. Compaction writes a new file, syncs it, renames
it over the old one and syncs the folder, so that after a crash at any step
either the old or the new file is complete.
"""

from __future__ import annotations

import errno
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

#: Name of the journal's file.
JOURNAL = 'journal'

#: Errors of a file operation that tell that the disk has no room.
FULL_DISK_ERRORS = frozenset((errno.ENOSPC, errno.EDQUOT))

#: Name of the file to which a new journal is written before it is renamed.
NEW_JOURNAL = 'journal.new'


@attrs.frozen
class BaseRecord:
    """First record of a journal.

    :param identity: identity of the replica
    :param cluster: identity of the replica that bootstrapped the cluster;
        empty before it is known
    :param hard_state: term and vote
    :param snapshot: snapshot that the entries of later records follow
    :param commit: index up to which entries were known to be committed
    """

    identity: str
    cluster: str
    hard_state: HardState
    snapshot: Snapshot
    commit: int = 0


@attrs.frozen
class UpdateRecord:
    """Any later record of a journal.

    :param hard_state: new term and vote; ``None`` when they are unchanged
    :param entries: entries that replace all from the first one's index on
    :param commit: index up to which entries were known to be committed
    """

    hard_state: HardState | None = None
    entries: tuple[Entry, ...] = ()
    commit: int = 0


_CODEC = Codec({1: BaseRecord, 2: UpdateRecord})


@attrs.define
class Journal:
    """An open journal; after a failure it refuses all further changes.

    :param files: operations on the files of the data folder
    :param length: length of the journal's file, in bytes
    :param failure: the first failure; ``None`` while there was none
    :param is_full: whether that failure was that the disk had no room
    """

    files: FileOperations
    length: int = 0
    failure: Failure | None = None
    is_full: bool = False

    def append(self, update: UpdateRecord) -> Result[None, Failure]:
        """Append one record and sync it."""
        record = encode_record(_CODEC.encode(update), self.length)
        return self.run_steps(
            ('append to journal', lambda: self.files.append(JOURNAL, record)),
            ('sync journal', lambda: self.files.sync(JOURNAL)),
            length=self.length + len(record),
        )

    def replace(self, saved: SavedState) -> Result[None, Failure]:
        """Replace the journal atomically by one that holds a given state."""
        content = _encode_saved(saved)
        files = self.files
        return self.run_steps(
            ('write new journal', lambda: files.write(NEW_JOURNAL, content)),
            ('sync new journal', lambda: files.sync(NEW_JOURNAL)),
            ('rename new journal', lambda: files.rename(NEW_JOURNAL, JOURNAL)),
            ('sync data folder', files.sync_folder),
            length=len(content),
        )

    def run_steps(
        self, *steps: tuple[str, Callable[[], None]], length: int
    ) -> Result[None, Failure]:
        """Run file operations in order, until one fails.

        A failure is kept: the journal refuses all further changes, because
        what has reached the disk is unknown.

        :param steps: name and operation of each step
        :param length: length of the journal's file afterwards, in bytes
        """
        if self.failure is not None:
            return Failed(self.failure)
        for name, step in steps:
            try:
                step()
            except OSError as error:
                self.failure = Failure(name, JOURNAL, str(error))
                self.is_full = error.errno in FULL_DISK_ERRORS
                return Failed(self.failure)
        self.length = length
        return Success(None)


def load_journal(
    journal: Journal,
) -> Result[SavedState | None, Failure]:
    """Read a journal and prepare it for appends.

    A torn last record is cut off from the file.

    :param journal: a journal to which nothing has been appended yet
    :returns: the state that the journal holds; ``None`` when its file doesn't
        exist
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
        cut = _truncate_journal(journal, records.length)
        if isinstance(cut, Failed):
            return cut
    journal.length = records.length
    return _decode_saved(records.bodies)


def save(
    journal: Journal, identity: str, persist: Persist
) -> Result[None, Failure]:
    """Carry out a replica's :class:`Persist` action.

    Appends a record, or writes a new journal when the action has a snapshot.

    :param identity: identity of the replica
    :param persist: the action
    """
    if persist.snapshot is None:
        return journal.append(
            UpdateRecord(persist.hard_state, persist.entries, persist.commit)
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


def _truncate_journal(journal: Journal, length: int) -> Result[None, Failure]:
    return journal.run_steps(
        (
            'truncate torn record',
            lambda: journal.files.truncate(JOURNAL, length),
        ),
        ('sync journal', lambda: journal.files.sync(JOURNAL)),
        length=length,
    )


def _encode_saved(saved: SavedState) -> bytes:
    base = BaseRecord(
        saved.identity,
        saved.cluster,
        saved.hard_state,
        saved.snapshot,
        saved.commit,
    )
    content = encode_record(_CODEC.encode(base), 0)
    if saved.entries:
        update = UpdateRecord(None, saved.entries)
        content += encode_record(_CODEC.encode(update), len(content))
    return content


def _decode_saved(
    bodies: tuple[bytes, ...],
) -> Result[SavedState | None, Failure]:
    if not bodies:
        return Failed(
            Failure('read journal', JOURNAL, 'no base record at the start')
        )
    messages = []
    for body in bodies:
        match _CODEC.decode(body, JOURNAL):
            case Success(message):
                messages.append(message)
            case Failed(failure):
                return Failed(failure)
    base, *updates = messages
    if not isinstance(base, BaseRecord):
        return Failed(
            Failure('read journal', JOURNAL, 'no base record at the start')
        )
    return _replay_records(base, updates)


def _replay_records(
    base: BaseRecord, updates: list[UpdateRecord]
) -> Result[SavedState | None, Failure]:
    entries: list[Entry] = []
    first = base.snapshot.index + 1
    for update in updates:
        if not update.entries:
            continue
        kept = update.entries[0].index - first
        if not 0 <= kept <= len(entries):
            return Failed(
                Failure(
                    'read journal',
                    JOURNAL,
                    f'entry {update.entries[0].index} does not follow '
                    f'entry {first + len(entries) - 1}',
                )
            )
        entries[kept:] = update.entries
    states = [
        update.hard_state
        for update in updates
        if update.hard_state is not None
    ]
    return Success(
        SavedState(
            base.identity,
            base.cluster,
            states[-1] if states else base.hard_state,
            base.snapshot,
            tuple(entries),
            max((base.commit, *(one.commit for one in updates))),
        )
    )
