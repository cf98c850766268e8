"""Many softswitches on one virtual clock, held against real processes: `plan` is the file of a run and what
is drawn from it, `clock` the virtual clock and the modelled wire, `world` the hollow softswitches and what
stands around them, `real` the processes of the same scenario, `run` the whole of a run and its verdict,
`keep` what is left of it. The decisions are the program's own; none of them may be rewritten here, and
nothing here is imported by the program itself.
"""
