"""The agreement over real processes with faults between them, judged by what was sent."""
