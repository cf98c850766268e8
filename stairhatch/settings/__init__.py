"""The settings that a softswitch is started with, as the simulator and the platform give them.

`parser` turns them into `stairhatch.overload.settings`, `schema` says what each key may hold and refuses a
reload that lacks a key in force, `load_reports` reads load reports, `errors` has the exceptions.
"""
