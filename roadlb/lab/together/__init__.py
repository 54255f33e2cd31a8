"""Sites, agreed versions and shared state at once, in whole processes; a hall takes all of its own along."""
