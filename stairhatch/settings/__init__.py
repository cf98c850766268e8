"""Parsing and validation of the settings that the simulator and the platform pass to a softswitch.

`parser` converts them to `stairhatch.overload.settings`. `schema` defines the allowed values of each key and
rejects a reload that lacks a key in force. `load_reports` converts load reports, `errors` has the exceptions.
"""
