"""FROZEN (see the package): names under which samples hold what a version read, in the order of the
fields in 852ab75. What 0782287 does not have comes last."""

READ_GREET = (
    "sender", "number", "epoch", "store_ok", "machines", "short", "heard", "takes", "low_ms",
)  # fmt: skip
READ_GREETED = (
    "number", "epoch", "leads", "store_ok", "most", "spare", "lent", "takes", "low_ms", "ready",
)  # fmt: skip
READ_ANSWER = ("number", "calls", "again")
READ_TOLD = ("number", "verdict", "done", "running", "waiting")
READ_JOB_SPEC = (
    "id", "klass", "team", "priority", "tasks", "cpus", "gpus", "memory_gb", "image", "image_gb",
    "types", "zone", "together", "spread", "spot", "estimate_s", "checkpoint_s", "save_s",
    "deadline_s", "dependencies",
)  # fmt: skip
READ_MACHINE_TYPE = (
    "name", "cpus", "gpus", "memory_gb", "cache_gb", "fetch_gb_per_s", "price", "spot_price",
    "boot_s", "zones",
)  # fmt: skip
READ_JOB_RECORD = ("spec", "size", "at")
READ_JOB = (
    "done", "count", "placed", "attempts", "waiting", "ended", "cancelled", "unreadable",
)  # fmt: skip
READ_CHAIN = ("awaited", "ready", "orphaned")
READ_TAKEN_OVER = ("jobs", "on", "unread", "orphans", "remembered")
READ_PHASES = ("PLANNED", "WANTED", "FETCHING", "RUNNING", "SAVING", "ENDED")
READ_FOLLOWER, READ_LEADER = "follower", "leader"
