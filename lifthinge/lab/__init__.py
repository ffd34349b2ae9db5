"""The laboratory: worlds to try the project's parts in, checkers, and faults that the checkers must find."""
