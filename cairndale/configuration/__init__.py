"""The configuration: checked, applied, indexed for the data plane."""
