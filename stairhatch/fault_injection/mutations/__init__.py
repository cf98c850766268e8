"""Mistakes put into the decisions on purpose, each one that somebody could make.

A rule that finds none of them proves nothing: `lab trial --faults` puts in one after the other and counts the
seeds until a rule is broken. The modules hold the mutations by what they change; `registry` puts them in
place and takes them out again. They name methods and attributes of `stairhatch.fleet`, private ones too, and
change with it.
"""

from stairhatch.fault_injection.mutations import receivers  # isort: skip - the order is that of the list
from stairhatch.fault_injection.mutations import holders  # isort: skip
from stairhatch.fault_injection.mutations import voters  # isort: skip
from stairhatch.fault_injection.mutations import voter_sets  # isort: skip
from stairhatch.fault_injection.mutations.registry import MUTATIONS, mutation_applied

__all__ = ["MUTATIONS", "holders", "mutation_applied", "receivers", "voter_sets", "voters"]
