"""Files that survive crashes: a log of records and the snapshot before it; it knows nothing of what they mean."""
