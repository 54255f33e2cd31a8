"""Overload control of the process: its event loop's delay, its resource usage, and the share to shed."""
