"""The settings of the two small deployments, as their brief and site files state them."""

from typing import Any

_LIMITS_ATHENS = {"core_share": 0.72, "mem_mb": 266.0, "sockets": 1800}
_LIMITS_BRATTLEBORO = {"core_share": 0.216, "mem_mb": 146.0, "sockets": 700}


def _breed(sku: str, cpus: int, boot_s: float, prices: tuple[float, float], zones: list[str]) -> Any:
    return {
        "sku": sku,
        "cpus": cpus,
        "accelerators": 0,
        "memGb": 128,
        "localGb": 30.0,
        "pullGbPerS": 0.3,
        "rate": prices[0],
        "lowPrice": prices[1],
        "readyS": boot_s,
        "yards": zones,
    }


def _team(name: str, cpus: float, cpus_max: float) -> dict[str, Any]:
    return {"name": name, "cpus": cpus, "cpus_max": cpus_max, "gpus": 0.0, "gpus_max": 0.0}


ATHENS_ZONES = ["clarke-annex", "oconee-room", "piedmont-hall"]
ATHENS: dict[str, Any] = {
    "breeds": [_breed("bench16", 16, 15.0, (1.16, 0.44), ATHENS_ZONES)],
    "settings": {
        "count": 3,
        "zones": ATHENS_ZONES,
        "teams": [
            _team("calib-crew", 296.0, 1104.0),
            _team("ledger-desk", 296.0, 664.0),
            _team("archive-watch", 368.0, 1104.0),
        ],
        "objectives": [
            {"kind": "wait", "class": "gain-sweep", "within_s": 12.0, "share": 0.78},
            {"kind": "wait", "class": "gain-sweep", "within_s": 60.0, "share": 0.98},
            {"kind": "finished", "class": "gain-sweep", "within_s": 70.0, "share": 0.975},
            {"kind": "deadline", "class": "hit-reconcile", "share": 0.85, "times": 1.0},
            {"kind": "deadline", "class": "hit-reconcile", "share": 0.96, "times": 1.5},
            {"kind": "guarantee", "within_s": 5.0, "share": 0.9},
        ],
        "workers": {
            "report_s": 2.5,
            "lease_s": 14.0,
            "gang_wait_s": 30.0,
            "gang_peer_s": 4.0,
            "cancel_s": 34.0,
        },
        "state": {"rps": 70.0, "write_rps": 25.0, "value_kb": 32.0, "txn_ops": 20},
        "cloud": {"rps": 5.0, "list_lag_s": 4.0},
        "machine_limits": _LIMITS_ATHENS,
        "clock_off_ms": 100.0,
    },
}

BRATTLEBORO_ZONES = ["town-hall-basement", "pumphouse-rack", "library-closet", "depot-annex"]
BRATTLEBORO: dict[str, Any] = {
    "breeds": [_breed("scanbox16", 16, 20.0, (1.2, 0.37), BRATTLEBORO_ZONES)],
    "settings": {
        "count": 3,
        "zones": BRATTLEBORO_ZONES,
        "teams": [_team("scan-desk", 0.0, 0.0)],
        "objectives": [
            {"kind": "wait", "class": "sheet-ingest", "within_s": 8.0, "share": 0.93},
            {"kind": "wait", "class": "sheet-ingest", "within_s": 20.0, "share": 0.95},
            {"kind": "finished", "class": "sheet-ingest", "within_s": 60.0, "share": 0.95},
            {"kind": "wait", "class": "viewer-retile", "within_s": 15.0, "share": 0.93},
            {"kind": "finished", "class": "viewer-retile", "within_s": 80.0, "share": 0.93},
            {"kind": "deadline", "class": "thumb-refresh", "share": 0.7, "times": 1.0},
        ],
        "workers": {
            "report_s": 0.8,
            "lease_s": 10.0,
            "gang_wait_s": 45.0,
            "gang_peer_s": 4.0,
            "cancel_s": 35.0,
        },
        "state": {"rps": 150.0, "write_rps": 50.0, "value_kb": 8.0, "txn_ops": 40},
        "cloud": {"rps": 3.0, "list_lag_s": 4.0},
        "machine_limits": _LIMITS_BRATTLEBORO,
        "clock_off_ms": 250.0,
    },
}


def gain_sweep(name: str, parcels: int) -> dict[str, Any]:
    """Return a submission of Athens's class `gain-sweep`."""
    return _job(name, "gain-sweep", "calib-crew", parcels, memory_gb=14.0, urgency="urgent")


def sheet_ingest(name: str, parcels: int) -> dict[str, Any]:
    """Return a submission of Brattleboro's class `sheet-ingest`."""
    return _job(name, "sheet-ingest", "scan-desk", parcels, memory_gb=24.0, urgency="urgent", spot=True)


def _job(
    name: str,
    job_class: str,
    team: str,
    parcels: int,
    *,
    memory_gb: float,
    urgency: str,
    spot: bool = False,
) -> dict[str, Any]:
    return {
        "nameId": name,
        "lot": job_class,
        "crew": team,
        "shape": "sweep",
        "urgency": urgency,
        "parcels": parcels,
        "cpus": 4.0,
        "accelerators": 0.0,
        "memGb": memory_gb,
        "kit": "img-07",
        "imageGb": 1.5,
        "breeds": None,
        "yard": None,
        "together": False,
        "spread": False,
        "loaners": spot,
        "haulS": 15.0,
        "waypointS": 0.0,
        "stowS": 0.0,
        "dueS": None,
    }
