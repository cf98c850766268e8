"""The appliance's configuration: the operators' TOML file.

`reader` turns the file into a `Config`. `schema` has every key, `validation` the complaints about unknown
keys and wrong values; `sip`, `fleet` and `scope` convert and check a table each, `addresses` what is in
several. Every complaint begins with the key's path.
"""
