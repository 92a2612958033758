"""How news reaches those who ask for it."""
