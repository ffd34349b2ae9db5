"""Players of scenarios, one a notation: the decisions, the controller on loopback, the members of a cluster."""
