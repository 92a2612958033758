"""The duty: what its holder settles for all, and stops settling before its lease ends."""
