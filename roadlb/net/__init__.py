"""HTTP over TCP: clients, instances and discovery."""
