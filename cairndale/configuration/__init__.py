"""The replicated configuration, without I/O: commands, state, deltas and the route table.

`commands` are applied to a `state`, whose content was checked by `validation`; `serialization` is
the stored form. `delta` and `delta_history` compute what changed between generations, and
`route_table` is the form that the data plane uses. Long computations run in steps (`stepwise`).
"""
