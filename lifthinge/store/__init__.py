"""Crash-safe storage: a log of opaque records and the snapshot that precedes it."""
