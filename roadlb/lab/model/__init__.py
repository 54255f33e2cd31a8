"""What the rehearsal's machines and clients do, without I/O: the node's inside, and the wishes."""
