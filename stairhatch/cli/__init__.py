"""The appliance's command line, on click: a module for each command, `main` for the group and the start.

No command has logic of its own: each calls the package that does the work, imported only when the command
runs. Exit codes: 0 done, 1 something was found wrong, 2 the command line or the configuration cannot be used,
130 ended by Ctrl-C.
"""
