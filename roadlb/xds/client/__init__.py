"""A subscriber's side of incremental ADS: a machine without I/O, and a thin gRPC client beside it."""
