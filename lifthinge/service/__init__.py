"""The processes of a controller and of a cluster member: configuration, logging, start and stop."""
