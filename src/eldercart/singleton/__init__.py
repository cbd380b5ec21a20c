"""Named leases: work that exactly one controller node does at a time, under a fencing token.

`lease_directory` holds what the state service knows of all named leases; `lease_candidate` is one
node's part in them, by the rules of `eligibility` and `holder_preference`. `intents` and
`write_ahead_gate` record what the cloud may be asked for before it is asked. `maintenance_calendar`
says when work that may wait is done; `operator_commands` and `status_report` serve operators. All
are state machines or functions without I/O, clock or random numbers.
"""
