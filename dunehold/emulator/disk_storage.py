"""Keeps the emulated state service's data on disk, in LMDB, with an fsync at each commit.

LMDB suits this service better than SQLite, the closest alternative: a commit changes only a few
keys, data are read only at the start, and a torn write can't be seen, because a commit switches
to a new root page. LMDB's map has a fixed size, so that a full store fails with one clear error
and loses no data.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import lmdb
import orjson

from dunehold.emulator.model.store import NoSpace, Row, Store

MAP_BYTES = 1 << 30  # default size of the map, 1 GiB
_REVISION_KEY, _NEXT_GRANT_KEY = b"revision", b"next_grant"


@dataclass(slots=True)
class DiskStorage:
    """A ``Storage`` in one directory, which only one process at a time may have open."""

    directory: Path
    map_bytes: int = MAP_BYTES
    commits: int = 0  # since this object was created
    _env: Any = field(init=False)
    _rows: Any = field(init=False)
    _leases: Any = field(init=False)
    _meta: Any = field(init=False)

    def __post_init__(self) -> None:
        self.directory.mkdir(parents=True, exist_ok=True)
        self._env = lmdb.open(str(self.directory), map_size=self.map_bytes, max_dbs=3)
        self._rows, self._leases, self._meta = (
            self._env.open_db(name) for name in (b"rows", b"leases", b"meta")
        )

    def commit(
        self, revision: int, rows: dict[str, Row | None], leases: dict[int, int | None]
    ) -> None:
        """Writes all changes in one durable transaction, or raises NoSpace and writes none."""
        try:
            with self._env.begin(write=True) as txn:
                for key, row in rows.items():
                    if row is None:
                        txn.delete(key.encode(), db=self._rows)
                    else:
                        header = orjson.dumps([row.version, row.lease])
                        txn.put(key.encode(), header + b"\n" + row.value, db=self._rows)
                for lease_id, duration_ms in leases.items():
                    lease_key = b"%d" % lease_id
                    if duration_ms is None:
                        txn.delete(lease_key, db=self._leases)
                    else:
                        txn.put(lease_key, b"%d" % duration_ms, db=self._leases)
                        txn.put(_NEXT_GRANT_KEY, b"%d" % (lease_id + 1), db=self._meta)
                txn.put(_REVISION_KEY, b"%d" % revision, db=self._meta)
        except (lmdb.MapFullError, lmdb.DiskError) as error:
            raise NoSpace(str(error)) from None
        self.commits += 1

    def restore(self, store: Store, now: float) -> None:
        """Fills an empty store with the data on disk; each lease gets its full time again."""
        rows: dict[str, Row] = {}
        with self._env.begin() as txn:
            for key, data in txn.cursor(db=self._rows):
                header, _, value = bytes(data).partition(b"\n")
                version, lease_id = orjson.loads(header)
                rows[bytes(key).decode()] = Row(value, version, lease_id)
            leases = {
                int(lease_key): int(duration_ms)
                for lease_key, duration_ms in txn.cursor(db=self._leases)
            }
            revision = int(txn.get(_REVISION_KEY, b"0", db=self._meta))
            next_lease = int(txn.get(_NEXT_GRANT_KEY, b"1", db=self._meta))
        store.restore(revision, next_lease, rows, leases, now)

    def close(self) -> None:
        """Closes the database."""
        self._env.close()
