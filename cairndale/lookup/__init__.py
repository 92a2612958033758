"""Where clients are told which ingresses there are."""
