"""One picture of nodes for all: clusters, localities and endpoints as immutable data, with checks.  No I/O."""
