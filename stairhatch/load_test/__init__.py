"""Load on a softswitch of this machine, drawn from a seed, and experiments of many such loads.

- what is to come: `load_plan` (the file), `arrivals` (the calls drawn from it), `caller_behaviour` (what a
  caller does after a response), `server_plan`, `datagram_conditions`
- one run: `load_run`, with `softswitch_process` and its `softswitch_config`, and worker processes
  (`worker_process`, `worker`, `worker_messages`) that are the `caller_population`, the `roster_servers` or a
  `datagram_relay`
- what came of it: `load_tally` and `tally_snapshot` (counts and times), `call_rules` (the rules of calls,
  checked over what both sides observed), `event_loop_stall` (how far times may be believed), `run_summary`
- many runs: `experiment` (the file), `experiment_run`, `experiment_results`, `chart`, `revisions`

The softswitch itself never imports this package, and no load leaves this machine. The commands are
`stairhatch load` and `stairhatch experiment`; experiments lie under `experiments/`.
"""
