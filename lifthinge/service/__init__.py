"""Start and stop: environment, logging, signals, and the controller around the decisions."""
