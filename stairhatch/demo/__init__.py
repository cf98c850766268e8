"""The demonstration: the appliance on an embedded configuration, two stand-in roster servers and a few
callers, all in one process, so that a new user sees calls on a fresh clone. It must never be what an
installation runs.
"""
