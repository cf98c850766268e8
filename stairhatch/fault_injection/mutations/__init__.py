"""Mutations: plausible programming errors in the lease protocol, to test that the lease rules detect them.

`lab trial --faults` applies each mutation and counts the seeds until a rule is broken; rules that detect no
mutation prove nothing. Each module contains the mutations of one part of the protocol, and `registry` applies
and reverts them. Mutations replace methods and attributes of `stairhatch.fleet` by name, also private ones,
and must follow renames there.
"""

from stairhatch.fault_injection.mutations import receivers  # isort: skip - sets the order of `MUTATIONS`
from stairhatch.fault_injection.mutations import holders  # isort: skip
from stairhatch.fault_injection.mutations import voters  # isort: skip
from stairhatch.fault_injection.mutations import voter_sets  # isort: skip
from stairhatch.fault_injection.mutations.registry import MUTATIONS, mutation_applied

__all__ = ["MUTATIONS", "holders", "mutation_applied", "receivers", "voter_sets", "voters"]
