"""`roadlb config`: a file for each subcommand."""
