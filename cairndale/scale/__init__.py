"""Scale runs: simulated ("hollow") ingresses and servers load real core processes, to measure what
each role costs by size."""
