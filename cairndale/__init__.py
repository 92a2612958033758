"""The global load balancer: one program, whose data plane is the ingress of `ironledge`.

See docs/system.md.
"""
