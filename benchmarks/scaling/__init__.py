"""Measurements of how the softswitch's cost grows with the number of servers, calls and softswitches.

`families` lists the measurements: a family is one kind of run, which produces several figures at each size.
The runs are implemented in `decision_cost`, `program_cost`, `added_delay`, `call_breakdown`, `fleet_cost` and
`voter_cost`. `slopes`, `line_fit` and `slope_files` model, fit and store the results; `capacity_rows`,
`capacity_verdicts` and `capacity_tables` generate the tables of docs/CAPACITY.md from the stored results.
"""
