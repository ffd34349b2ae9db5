"""The Raft protocol without I/O: messages and time in, messages, writes and applied entries out."""
