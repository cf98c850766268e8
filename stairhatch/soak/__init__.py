"""Dense trials: short test runs of a few real softswitches in which many faults overlap.

A seed determines a trial. A trial starts the softswitch processes as the platform does, connects them to
emulated roster servers, coordinators and callers, injects the faults of its schedule, and checks the
platform's rules on the messages that crossed the emulators' sockets. The softswitch is never asked whether a
rule was kept. A running softswitch uses nothing of this package.

`trial.py` runs one trial and is the module to read first. `deployment.py` and `schedule.py` draw a trial from
its seed; `world.py`, `roster_server.py`, `coordinator.py` and `caller.py` emulate the environment;
`injector.py` injects the faults; `rules.py` checks the rules.
"""
