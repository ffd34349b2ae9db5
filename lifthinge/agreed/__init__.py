"""The replicated state machine of the cluster: versions of a checked document. It does no I/O."""
