"""The registry of the mutations by name, and the context manager that applies one."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from typing import Any
from unittest import mock


@dataclass(frozen=True, slots=True)
class AttributePatch:
    """The replacement of one attribute of a class or a module while a mutation is applied."""

    owner: Any
    attribute: str
    replacement: Any


Mutation = Callable[[], list[AttributePatch]]
EffectsMethod = Callable[..., list[Any]]  # a method of the lease protocol that returns effects
MUTATIONS: dict[str, Mutation] = {}  # by name, in the order of registration


def mutation(name: str) -> Callable[[Mutation], Mutation]:
    """Return a decorator that registers a function under the mutation's name for the command line."""

    def register(make_patches: Mutation) -> Mutation:
        MUTATIONS[name] = make_patches
        return make_patches

    return register


def original(owner: Any, attribute: str) -> Any:
    """Return the present value of an attribute, for use in its replacement."""
    return getattr(owner, attribute)


@contextmanager
def mutation_applied(name: str) -> Iterator[None]:
    """Apply a mutation for the length of a `with` block; an empty name applies none.

    Raises KeyError if no mutation has the name.
    """
    with ExitStack() as stack:
        for patch in MUTATIONS[name]() if name else ():
            stack.enter_context(mock.patch.object(patch.owner, patch.attribute, patch.replacement))
        yield
