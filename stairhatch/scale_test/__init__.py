"""Hundreds of simulated softswitches on one virtual clock, compared with a few real processes.

The modules, from the lowest up:

- the plan: `schema` and `plan_file`, `topology`, `softswitch_settings`, `call_graph`, `call_generator`;
- the surroundings: `virtual_clock`, `processor_meter`, `simulated_network`, `simulated_connection`,
  `simulation_context`;
- the machines: `simulated_server`, `simulated_coordinator`, `simulated_softswitch` with its
  `softswitch_incarnation`, `connection_drivers`, `simulated_caller`, `simulated_vote_store` and
  `simulated_fleet_network`;
- the run: `event_injector`, `virtual_environment`, `simulation`, `simulation_figures`, `verdict`;
- the comparison: `real_run`, `real_config`, `member_log`, `comparison`;
- the whole: `memory`, `run`, `summary`, `chart`, `result_files`.

The decisions are the program's own and are not written again here. The program itself imports none of this.
"""
