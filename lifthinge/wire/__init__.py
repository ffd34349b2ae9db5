"""What is spoken: frames, HTTP/1.1 and datagrams; the names of the sockets end here."""
