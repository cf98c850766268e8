"""Hostile and faulty clients of a real softswitch process, beside ordinary callers.

`behaviours` has what a client does, `ordinary_callers` the callers that are measured, `play` starts the
processes of one play and samples the memory of the softswitch. All traffic is on loopback and ends by itself.
"""
