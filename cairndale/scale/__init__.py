"""A scale run: hollow ingresses and servers beside real core processes, and what each role costs by
size."""
