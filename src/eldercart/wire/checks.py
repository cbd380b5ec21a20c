"""Checks shared by the formats."""

import math
from typing import Any

import orjson

MAX_BODY_BYTES = 64 * 1024
MAX_COUNT = 2**64
MAX_AMOUNT = 1e12


class MalformedMessage(Exception):
    """A message that is not what the protocol says; the text names the field."""


def load_object(body: bytes) -> dict[str, Any]:
    """A request's body."""
    if len(body) > MAX_BODY_BYTES:
        raise MalformedMessage("body over 64 KiB")
    return load_response(body)


def load_nested_object(body: bytes) -> dict[str, Any]:
    """An object that goes on inside a frame. Nested as deeply as the parser just allows, it would
    make the whole frame unreadable, and with it what others sent."""
    value = load_object(body)
    try:
        orjson.dumps(value)  # allows far fewer levels than the parser
    except orjson.JSONEncodeError:
        raise MalformedMessage("nested too deeply") from None
    return value


def load_response(body: bytes) -> dict[str, Any]:
    """A response may be longer than a request."""
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError:
        raise MalformedMessage("not JSON") from None
    if not isinstance(value, dict):
        raise MalformedMessage("not an object")
    return value


def require_text(obj: dict[str, Any], field: str, most: int = 200) -> str:
    """A text that is not empty, of at most so many characters."""
    value = obj.get(field)
    if not isinstance(value, str) or not 0 < len(value) <= most:
        raise MalformedMessage(field)
    return value


def require_number(obj: dict[str, Any], field: str, least: float = 0.0) -> float:
    """A finite number within bounds, whole or not."""
    value = obj.get(field)
    # bool is an int in Python; JSON true is no number
    if type(value) is not float and type(value) is not int:
        raise MalformedMessage(field)
    if not math.isfinite(value) or value < least or value > MAX_AMOUNT:
        raise MalformedMessage(field)
    return float(value)


def optional_number(obj: dict[str, Any], field: str, default: float) -> float:
    """An amount that may be null or left out."""
    return default if obj.get(field) is None else require_number(obj, field)


def require_integer(
    obj: dict[str, Any], field: str, least: int = 0, most: int = MAX_COUNT - 1
) -> int:
    """A whole number in the form of one: 2.0 is none."""
    value = obj.get(field)
    if type(value) is not int or not least <= value <= most:  # JSON true is no number
        raise MalformedMessage(field)
    return value


def require_boolean(obj: dict[str, Any], field: str) -> bool:
    """True or false."""
    value = obj.get(field)
    if not isinstance(value, bool):
        raise MalformedMessage(field)
    return value


def require_texts(obj: dict[str, Any], field: str) -> tuple[str, ...]:
    """A list of texts, none of them empty."""
    value = obj.get(field)
    if not isinstance(value, list) or not all(isinstance(v, str) and v for v in value):
        raise MalformedMessage(field)
    return tuple(value)


def require_objects(obj: dict[str, Any], field: str) -> list[dict[str, Any]]:
    """A list of objects."""
    value = obj.get(field)
    if not isinstance(value, list) or not all(isinstance(v, dict) for v in value):
        raise MalformedMessage(field)
    return value
