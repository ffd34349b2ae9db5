"""Recording of the policy's events and orders, and replay of its decisions from that record."""
