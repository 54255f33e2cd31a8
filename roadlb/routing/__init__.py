"""What the decision module knows of the ways to servers; it decides without I/O."""
