"""`roadlb lab`: a file for each subcommand."""
