"""Token buckets of workspaces and transfers between members."""
