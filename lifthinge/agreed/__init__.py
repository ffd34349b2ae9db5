"""What the members agree on: versions of a checked document, and who proposed them; no I/O."""
