"""How the softswitch's cost grows with the size of its surroundings.

`families` names what can be measured: a family is one kind of run, which gives several figures at each size.
The measurements stand in `decision_cost`, `program_cost`, `added_delay`, `call_breakdown`, `fleet_cost` and
`voter_cost`. `slopes`, `line_fit` and `slope_files` hold what was measured; `capacity_rows`,
`capacity_verdicts` and `capacity_tables` make the tables of docs/CAPACITY.md from it.
"""
