"""Duties: work that exactly one controller node does at a time, with a fencing token.

`board` is what the state service holds of all duties, `membership` one node's part in them,
`intents` and `gate` what is written before the cloud is called, `calendar` when work that may
wait is done. All of them are state machines without I/O, clock or random numbers.
"""
