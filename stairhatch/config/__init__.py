"""The configuration, in one form whatever it was read from.

`model` has that form, the error and what both readers do. `platform` reads the platform's RELAY_ variables
and JSON file, `appliance` the operators' TOML file, with a schema and a library of its own; neither imports
the other.
"""
