"""What the decision module knows of the ways to servers; deciders without I/O."""
