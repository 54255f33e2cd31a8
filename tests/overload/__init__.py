"""Tests of roadlb/overload and of how the decision module handles a lack of its process's own resources."""
