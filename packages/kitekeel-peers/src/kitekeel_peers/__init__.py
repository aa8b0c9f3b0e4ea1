"""Communication between daemons: RPC, membership, replication, slot grants and quotas."""
