"""Loads the operators' own settings from a JSON file.

The schema `operator.schema.json` defines the unit, bounds and default of each setting; defaults
are written nowhere else.
"""

from pathlib import Path
from typing import Any

import orjson

from eldercart.settings.platform import InvalidSettingsError, read_json

SCHEMA = Path(__file__).with_name("operator.schema.json")


class Tuning:
    """The operators' settings as attributes; the schema describes the unit and meaning of each."""

    def __init__(self, values: dict[str, Any]) -> None:
        """`values` holds every setting of the schema."""
        self._values = values

    def __getattr__(self, name: str) -> Any:
        """Return the value of the setting `name`."""
        try:
            return self._values[name]
        except KeyError:
            raise AttributeError(name) from None


def load_schema() -> dict[str, Any]:
    """Return the JSON schema with unit, bounds and default of each setting."""
    schema: dict[str, Any] = orjson.loads(SCHEMA.read_bytes())
    return schema


def load_tuning(path: str | None = None, values: dict[str, Any] | None = None) -> Tuning:
    """Return the defaults, overlaid with the operators' file or with `values`.

    Raises InvalidSettingsError if the file cannot be read or a value violates the schema.
    """
    schema = load_schema()
    merged = {name: entry["default"] for name, entry in schema["properties"].items()}
    if path is not None:
        values = read_json(path, "operator settings")
    if values is not None:
        # Imported only if there is something to check: a node on a fifth of a core starts faster
        # without.
        import fastjsonschema

        try:
            fastjsonschema.compile(schema)(values)
        except fastjsonschema.JsonSchemaValueException as err:
            raise InvalidSettingsError(f"operator settings: {err.message}") from None
        merged.update(values)
    return Tuning(merged)
