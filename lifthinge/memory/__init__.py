"""State in memory: slots, deadlines, pending orders, counters and the registry of known objects."""
