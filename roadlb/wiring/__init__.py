"""The parts of one real balancer, as `roadlb.app` wires them."""
