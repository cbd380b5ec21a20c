"""Named leases: work that exactly one controller node does at a time, under a fencing token.

`lease_directory` mirrors the keys of all named leases at the state service. `lease_candidate`
acquires and releases them for one node, by the rules of `eligibility` and `holder_preference`.
`intents` and `write_ahead_gate` record each change to the cloud's machines before it is requested.
`maintenance_calendar` schedules work that can be deferred. `operator_commands` and `status_report`
serve operators. All modules are state machines or pure functions without I/O, clock or random
numbers.
"""
