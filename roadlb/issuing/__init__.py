"""Issuing versions on several control services: the seat, the books in the store, the followers' streams."""
