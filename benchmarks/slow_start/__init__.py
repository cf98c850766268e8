"""How near a fleet comes to pushing a warming roster server over, and how much it makes of it.

`scenarios` says what happens while the server warms up, `results` checks the set-ups that reached it. These
are counted in `simulation` (the real decisions on a virtual clock) and in `process_run` (real processes).
docs/cold.md has the derivation of the bound.
"""
