"""The mutations by their names, and how one is put in place and taken out again."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from typing import Any
from unittest import mock


@dataclass(frozen=True, slots=True)
class AttributePatch:
    """An attribute of a class or a module, and its replacement while the mutation is applied."""

    owner: Any
    attribute: str
    replacement: Any


Mutation = Callable[[], list[AttributePatch]]
EffectsMethod = Callable[..., list[Any]]  # a method that returns the effects of a decision
MUTATIONS: dict[str, Mutation] = {}  # in the order in which they are listed


def mutation(name: str) -> Callable[[Mutation], Mutation]:
    """Register the decorated function under the name that the command line knows it by."""

    def register(make_patches: Mutation) -> Mutation:
        MUTATIONS[name] = make_patches
        return make_patches

    return register


def original(owner: Any, attribute: str) -> Any:
    """The attribute as it is now, for a replacement to call."""
    return getattr(owner, attribute)


@contextmanager
def mutation_applied(name: str) -> Iterator[None]:
    """Run the block with this mutation in the decisions; with none where the name is empty."""
    with ExitStack() as stack:
        for patch in MUTATIONS[name]() if name else ():
            stack.enter_context(mock.patch.object(patch.owner, patch.attribute, patch.replacement))
        yield
