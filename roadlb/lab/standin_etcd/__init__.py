"""A store in memory that speaks etcd's published v3 API, for tests and rehearsals; not for service."""
