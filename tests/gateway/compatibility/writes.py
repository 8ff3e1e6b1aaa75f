"""Writes to a store, in sequence: values within a page and on overflow pages, replaced and removed."""

from collections.abc import Mapping

WRITES: tuple[Mapping[str, bytes | None], ...] = (
    {"members": b'["127.44.5.11"]', "version": b"[16384, 0]"},
    {"state/config": b'{"revision": 1, "text": "%s"}' % (b"a" * 300), "version": b"[16384, 1]"},
    {"state/config": b'{"revision": 2, "text": "%s"}' % (b"b" * 5000), "version": b"[16384, 2]"},
    {"state/rollout/maps": b'{"state": "running"}', "version": b"[16384, 3]"},
    {"state/rollout/maps": None, "version": b"[16384, 4]"},
)
