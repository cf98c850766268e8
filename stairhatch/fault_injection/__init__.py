"""The lab: many softswitches, and faults between them. `world` runs the decisions of `stairhatch.fleet` on a
virtual clock, `explore` in every order that a small world allows, `processes` the real program with relays on
every way between two; `schedule` draws the faults from a seed, `history` and `rules` read what happened off
what crossed the ways and what the processes wrote down, `planted` breaks the decisions on purpose to prove
the rules. It must never be imported by the program itself, and ends only processes that it started.
"""
