"""Proofs that balancers who share keep within their bounds: real processes, faults between them, a judge."""
