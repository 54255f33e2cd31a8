"""The `roadlb` command: a file for each subcommand, and no logic.  Nothing imports it."""
