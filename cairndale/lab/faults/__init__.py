"""The fault laboratory: real processes, relays and wrappers that inject faults, fault schedules,
recorded histories and their checker."""
