"""xDS over gRPC, the server's side: streams of resources, load reports, health, client status."""
