"""The xDS protocol: resources and versions, stream machines without I/O, the codec, gRPC."""
