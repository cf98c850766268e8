"""Measurements of how close a fleet comes to overloading a warming roster server, and how well it uses it.

`scenarios` defines the events during the warm-up; `simulation` (the real decisions on a virtual clock) and
`process_run` (real processes) run them and count the set-ups that reach the server; `results` compares the
counts with the bound. docs/cold.md has the derivation of the bound.
"""
