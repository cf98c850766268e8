"""Parsing and validation of the settings that the simulator and the platform pass to a softswitch.

`parser` converts them to `stairhatch.overload.settings`. `schema` has the documented keys, built from the
shapes of values in `shapes`; `validation` checks a value against its shape. `lost_keys` compares a new
configuration with the one in force. `load_reports` converts load reports, `errors` has the exceptions.
"""
