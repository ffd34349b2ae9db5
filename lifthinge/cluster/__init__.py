"""What is spoken between our own instances, and with those who ask them for the agreed configuration."""
