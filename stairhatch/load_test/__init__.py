"""Load tests of a softswitch on the local machine, drawn from a seed, and experiments of many load runs.

- plan of a load: `load_plan` (the file), `arrivals` (the calls drawn from it), `caller_behaviour` (retries
  and overload control of callers), `server_plan` (roster servers and their faults), `datagram_conditions`
- one run: `load_run`, with `softswitch_process` and its `softswitch_config`, and worker processes
  (`worker_process`, `worker`, `worker_messages`) that run the `caller_population`, the `roster_servers` or a
  `datagram_relay`
- results of a run: `load_tally` and `tally_snapshot` (counts and times), `call_rules` (checks of the call
  rules over the observations of callers and servers), `event_loop_stall` (error bound of the observed times),
  `run_summary`
- many runs: `experiment` (the file), `experiment_run`, `experiment_results`, `chart`, `revisions`

The softswitch itself never imports this package, and a load is never sent to another machine. The commands
are `stairhatch load` and `stairhatch experiment`; the files of experiments are under `experiments/`.
"""
