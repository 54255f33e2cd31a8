"""etcd's published v3 API as an asyncio client: what leadership and the versions in a store need of it."""
