"""The demonstration: a new user sees calls on a fresh clone.

The appliance, on an embedded configuration (`config`), two emulated roster servers and a few callers
(`callers`) run in one process (`demonstration`). No installation runs this.
"""
