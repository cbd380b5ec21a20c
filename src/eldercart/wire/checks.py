"""Functions that parse JSON messages and validate their fields, shared by all formats.

The functions raise `MalformedMessageError`; for a bad field, its text is the name of the field.
"""

import math
from typing import Any

import orjson

MAX_BODY_BYTES = 64 * 1024
INTEGER_LIMIT = 2**64  # exclusive
MAX_AMOUNT = 1e12  # largest accepted value of a number, in the unit of its field


class MalformedMessageError(Exception):
    """Raised for a message that breaks the protocol; the text names the field."""


def load_object(body: bytes) -> dict[str, Any]:
    """Parse the body of a request or a frame.

    Raises `MalformedMessageError` if the body is too long or not a JSON object.
    """
    if len(body) > MAX_BODY_BYTES:
        raise MalformedMessageError("body over 64 KiB")
    return load_unbounded_object(body)


def load_nested_object(body: bytes) -> dict[str, Any]:
    """Parse an object that is forwarded inside a frame.

    The parser limits the depth of nesting. An object that just meets the limit would exceed it
    inside a frame and make the whole frame unreadable, with the messages of others that it holds.
    Deeply nested objects are therefore rejected.
    """
    value = load_object(body)
    try:
        orjson.dumps(value)  # the encoder allows far fewer levels than the parser
    except orjson.JSONEncodeError:
        raise MalformedMessageError("nested too deeply") from None
    return value


def load_unbounded_object(body: bytes) -> dict[str, Any]:
    """Parse a JSON object of any length, such as the body of a response or a peer's frame.

    Raises `MalformedMessageError` if the text is not a JSON object.
    """
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError:
        raise MalformedMessageError("not JSON") from None
    if not isinstance(value, dict):
        raise MalformedMessageError("not an object")
    return value


def require_text(obj: dict[str, Any], field: str, max_length: int = 200) -> str:
    """Return a string that is not empty and has at most `max_length` characters."""
    value = obj.get(field)
    if not isinstance(value, str) or not 0 < len(value) <= max_length:
        raise MalformedMessageError(field)
    return value


def require_number(obj: dict[str, Any], field: str, minimum: float = 0.0) -> float:
    """Return an integer or a finite float between `minimum` and `MAX_AMOUNT`, as a float."""
    value = obj.get(field)
    # `isinstance` would accept JSON true, since bool is a subclass of int.
    if type(value) is not float and type(value) is not int:
        raise MalformedMessageError(field)
    if not math.isfinite(value) or value < minimum or value > MAX_AMOUNT:
        raise MalformedMessageError(field)
    return float(value)


def optional_number(obj: dict[str, Any], field: str, default: float) -> float:
    """Return a number, or the default if the field is null or left out."""
    return default if obj.get(field) is None else require_number(obj, field)


def require_integer(
    obj: dict[str, Any], field: str, minimum: int = 0, maximum: int = INTEGER_LIMIT - 1
) -> int:
    """Return an integer between `minimum` and `maximum`; 2.0 is malformed."""
    value = obj.get(field)
    if type(value) is not int or not minimum <= value <= maximum:  # excludes bool
        raise MalformedMessageError(field)
    return value


def require_boolean(obj: dict[str, Any], field: str) -> bool:
    """Return a boolean."""
    value = obj.get(field)
    if not isinstance(value, bool):
        raise MalformedMessageError(field)
    return value


def require_texts(obj: dict[str, Any], field: str) -> tuple[str, ...]:
    """Return a list of strings that are not empty."""
    value = obj.get(field)
    if not isinstance(value, list) or not all(isinstance(text, str) and text for text in value):
        raise MalformedMessageError(field)
    return tuple(value)


def require_objects(obj: dict[str, Any], field: str) -> list[dict[str, Any]]:
    """Return a list of objects."""
    value = obj.get(field)
    if not isinstance(value, list) or not all(isinstance(item, dict) for item in value):
        raise MalformedMessageError(field)
    return value
