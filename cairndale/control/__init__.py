"""The control node: replicates the state, decides changes as leader, and serves other processes."""
