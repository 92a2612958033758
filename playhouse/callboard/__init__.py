"""Which servers there are, as they said themselves."""
