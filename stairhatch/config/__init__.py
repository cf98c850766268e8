"""Configuration of the program, in one form for both of its sources.

`model` defines this form, the error and the functions that both readers use. `platform` reads the platform's
RELAY_ variables and JSON file. `appliance` reads the operators' TOML file, with its own schema and library.
Neither reader imports the other.
"""
