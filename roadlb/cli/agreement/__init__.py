"""`roadlb versions ...` and `roadlb agreement ...`: what the balancers agree on, and who does."""
