"""The replicated configuration, without I/O: commands, state, deltas, and the routes made of it.

`commands` are applied to a `state`, whose content `validation` has checked; `serialization` is the
stored form. `delta` and `delta_history` say what changed, and `route_table` is what the data plane
makes of it. Long work is a job in steps (`stepwise`).
"""
