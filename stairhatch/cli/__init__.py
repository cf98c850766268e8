"""Command line of the appliance, on click: a module for each command; `main` has the group and entry point.

The commands contain no logic: each calls the package that does the work, and imports it only when it runs.
Exit codes: 0 success, 1 the command found a fault, 2 the command line or the configuration cannot be used,
130 the command was ended by Ctrl-C.
"""
