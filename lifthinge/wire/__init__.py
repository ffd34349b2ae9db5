"""Network protocols of a controller: frames, HTTP/1.1 and datagrams.

Names on the wire are translated here; other packages don't see them.
"""
