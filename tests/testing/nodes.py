"""Nodes as the leader lists them in watch responses."""

from __future__ import annotations

from cairndale.rpc import protocol_pb2 as pb


def prepared_ingress(region: str, *, zone: str = "", draining: bool = False) -> pb.Node:
    """A ready ingress, named after its zone (or region): clients reach it at `NAME:80`."""
    name = zone or region
    return pb.Node(
        name=name,
        http_address=f"{name}:80",
        zone=zone or f"{region}1",
        region=region,
        kind="edge",
        ready=True,
        draining=draining,
    )
