"""What each role costs by the size of the fleet: real processes beside hollow ones, and lines through it.

A hollow balancer speaks the real protocols with the real deciders and codec, and has no clients; many share a
process.  `runs` measures, `fit` draws the lines, `page` makes the tables of docs/CAPACITY.md from them.
"""
