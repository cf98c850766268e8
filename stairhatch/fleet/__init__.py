"""Work on behalf of the fleet has one owner at a time: `claims` decides for those who ask and hold, `voting`
for those who promise, `epochs` which list of voters counts, `mate` joins them for one softswitch, `watching`
shows who holds what; `fence` is what a receiver goes by, `numbers` and `restarts` are the works done under
claims. All free of I/O: messages, clock and dice are passed in, so that
one code runs in the program, on a virtual clock and under exhaustive search (`trial`). `store` is the folder,
`messages` the wire, `service` the wiring. No part may delay or decide a call: without a majority, a peer or a
disk shared work rests and calls go on. Switched on by `[fleet]` in the appliance's file; the platform's
program imports none of it.
"""
