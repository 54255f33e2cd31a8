"""The operators' second address: calls and the report.  It asks and tells the lifecycle, and reads
counters."""
