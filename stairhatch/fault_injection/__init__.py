"""Fault injection: many softswitches with faults between them, to prove their shared work.

Where to look, by what runs:

- real processes of this program: `run_batch` (many runs), `process_run` (one), `fault_injector`,
  `network_links`, `member_process` and `member_main` (one softswitch), `callers`, `run_report`, `run_files`
- the same decisions on a virtual clock, from seeds: `trial` (many runs), `virtual_cluster` (one),
  `virtual_fault_injector`, `virtual_network`, `virtual_member` and `virtual_disk`
- every order of events of a small cluster: `state_exploration`, `exploration_state`

`schedule` and `schedule_generator` say which faults happen when; `network_conditions` are what they do to the
network, real or virtual. `history`, `lease_rules` and `timeline` read off the histories what came of it.
`mutations` are mistakes put into the decisions on purpose, to prove the rules.

The program itself never imports this package, and it ends only processes that it started. The command is
`stairhatch lab`; timelines lie under `experiments/lab/`.
"""
