"""What must outlive the process: the last good version, refused ones, drains told, the highest epoch seen."""
