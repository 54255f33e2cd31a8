"""Tests of roadlb/overload and of what the decision module does about its own shortage."""
