"""Configuration of the appliance from the operators' TOML file.

`reader` converts the file into a `Config`. `schema` declares every key, and `validation` rejects unknown keys
and wrong values. `sip`, `fleet` and `scope` each convert and check the table of that name, and `addresses`
has the checks of addresses for all tables. Every error message begins with the path of the key.
"""
