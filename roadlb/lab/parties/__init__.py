"""The ends of the wire in a rehearsal, on the running asyncio loop, simulated or real."""
