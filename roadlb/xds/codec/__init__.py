"""Envoy's messages to and from the fleet's data, without loss.  No I/O; needs the extra `control`."""
