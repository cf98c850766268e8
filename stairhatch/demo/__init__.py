"""The demonstration, which shows a new user calls on a fresh clone.

The appliance with an embedded configuration (`config`), two emulated roster servers and one or two callers
(`callers`) run in one process (`demonstration`). It is not used in an installation.
"""
