"""The scale test: hundreds of simulated softswitches on one virtual clock, compared with real processes.

Modules, from the lowest layer to the highest:

- the plan: `schema` and `plan_file`, `topology`, `softswitch_settings`, `call_graph`, `call_generator`;
- the simulation environment: `virtual_clock`, `processor_meter`, `simulated_network`, `simulated_connection`,
  `simulation_context`;
- the simulated machines and processes: `simulated_server`, `simulated_coordinator`, `simulated_softswitch`
  with its `softswitch_incarnation`, `connection_drivers`, `simulated_caller`, `simulated_vote_store` and
  `simulated_fleet_network`;
- the run: `event_injector`, `virtual_environment`, `simulation`, `simulation_figures`, `verdict`;
- the comparison with real processes: `real_run`, `real_config`, `member_log`, `comparison`;
- the complete scale test: `memory`, `run`, `summary`, `chart`, `result_files`.

Simulated softswitches run the production code for every decision; this package reimplements none of it. The
production code doesn't import this package.
"""
