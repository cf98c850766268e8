"""Dense trials: short days with a handful of real softswitches and many faults that cross each other.

A trial is drawn from a seed. It starts the platform's program as the platform does, between emulated
roster servers, coordinators and callers, injects the faults of its schedule and checks the platform's rules
over what crossed the emulators' sockets. It never asks the program whether a rule was kept, and nothing here
is part of a running softswitch. Begin with `trial.py`; `deployment.py` and `schedule.py` draw, `world.py`,
`roster_server.py`, `coordinator.py` and `caller.py` emulate, `injector.py` injects, `rules.py` checks.
"""
