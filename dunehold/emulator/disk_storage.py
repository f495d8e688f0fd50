"""The emulated state service's data on disk: LMDB, fsync at commit, cold restarts.

LMDB was chosen over SQLite (its nearest kin) since a commit here is a handful of keys, reads
happen only at the start, and a torn write can't be seen: a commit is a new root page. The map
has a fixed size, so a store that is full says so in one clear error and loses nothing.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import lmdb
import orjson

from dunehold.emulator.model.store import NoSpace, Row, Store

MAP_BYTES = 1 << 30
_REVISION_KEY, _NEXT_GRANT_KEY = b"revision", b"next_grant"


@dataclass(slots=True)
class DiskStorage:
    """A ``Storage`` in one directory; one process at a time may have it open."""

    directory: Path
    map_bytes: int = MAP_BYTES
    commits: int = 0
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
        try:
            with self._env.begin(write=True) as txn:
                for key, row in rows.items():
                    if row is None:
                        txn.delete(key.encode(), db=self._rows)
                    else:
                        head = orjson.dumps([row.version, row.lease])
                        txn.put(key.encode(), head + b"\n" + row.value, db=self._rows)
                for grant, life in leases.items():
                    name = b"%d" % grant
                    if life is None:
                        txn.delete(name, db=self._leases)
                    else:
                        txn.put(name, b"%d" % life, db=self._leases)
                        txn.put(_NEXT_GRANT_KEY, b"%d" % (grant + 1), db=self._meta)
                txn.put(_REVISION_KEY, b"%d" % revision, db=self._meta)
        except (lmdb.MapFullError, lmdb.DiskError) as error:
            raise NoSpace(str(error)) from None
        self.commits += 1

    def restore(self, store: Store, now: float) -> None:
        """Fill an empty store with what was kept, as after an outage."""
        rows: dict[str, Row] = {}
        with self._env.begin() as txn:
            for key, data in txn.cursor(db=self._rows):
                head, _, value = bytes(data).partition(b"\n")
                stamp, grant = orjson.loads(head)
                rows[bytes(key).decode()] = Row(value, stamp, grant)
            leases = {int(name): int(life) for name, life in txn.cursor(db=self._leases)}
            revision = int(txn.get(_REVISION_KEY, b"0", db=self._meta))
            grant = int(txn.get(_NEXT_GRANT_KEY, b"1", db=self._meta))
        store.restore(revision, grant, rows, leases, now)

    def close(self) -> None:
        self._env.close()
