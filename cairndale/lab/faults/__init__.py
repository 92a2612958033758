"""The fault lab: real processes, relays and wrappers that put faults between them, schedules, and a
judge."""
