"""The Raft consensus protocol without I/O.

Messages and the time come in; messages, writes and committed entries go out.
"""
