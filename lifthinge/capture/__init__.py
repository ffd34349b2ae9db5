"""What the controller was told and what it ordered, on record, and the same decisions again from that."""
