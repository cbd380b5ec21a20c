"""Prefixes under which the keys of many jobs are read in one request."""

from collections.abc import Iterable
from itertools import takewhile

from eldercart.units import JobId


def common_key_prefix(prefix: str, jobs: Iterable[JobId]) -> str:
    """Return the longest prefix that the keys of all the jobs have in common.

    Comparing the smallest and the largest name is enough: all names that sort between the two
    start with the prefix that the two have in common.
    """
    names = list(jobs)
    pairs = zip(min(names), max(names), strict=False)
    return prefix + "".join(first for first, _ in takewhile(lambda pair: pair[0] == pair[1], pairs))
