"""The lab: an emulator of the platform, its load, its judge and its experiments. Never imported by
the ingress."""
