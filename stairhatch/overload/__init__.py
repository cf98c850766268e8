"""The overload control: which server takes a call, whether it is tried again, and which calls are rejected.

It is fed typed events and answers with typed actions; it knows no wire, no socket and no clock of its own.
"""
