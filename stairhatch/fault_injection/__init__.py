"""Fault injection into a fleet of softswitches, to test their leases and the work shared under them.

The modules, by the kind of test:

- real processes of this program: `run_batch` (many runs), `process_run` (one run), `fault_injector`,
  `network_links`, `member_process` and `member_main` (one softswitch), `callers`, `run_report`, `run_files`
- the same decisions on a virtual clock, from seeds: `trial` (many runs), `virtual_cluster` (one run),
  `virtual_fault_injector`, `virtual_network`, `virtual_member` and `virtual_disk`
- every order of events in a small cluster: `state_exploration`, `exploration_state`

`schedule` and `schedule_generator` define the faults and their times. `network_conditions` applies the faults
of the real or virtual network. `history`, `lease_rules` and `timeline` evaluate the histories of the runs.
`mutations` are deliberate errors in the decisions, to test that the rules detect them.

The program itself never imports this package. The package ends only processes that it has started. Its
command is `stairhatch lab`; the timelines are in `experiments/lab/`.
"""
