"""The `ironledge` command line and the configuration file that people write.

The program that the platform starts (`python -m cairndale.ingress`) imports none of it."""
