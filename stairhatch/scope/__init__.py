"""Scope: which part of a long list of roster servers this softswitch has to do with. Owns the sets of classes
that share servers (`sets`) and the decisions kept apart by them (`decisions`), each set with a Controller of
its own. It must never open a link, read a file or a clock, nor decide where a call goes: the Controller does.
"""
