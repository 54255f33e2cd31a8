"""The control service's deciders: what is planned, in which order it is told, and who has heard it."""
