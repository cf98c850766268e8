"""The controller under the simulator.

`codec` turns the simulator's binary frames into typed `records` and back (`frame_reader` is its cursor);
`adapter` is the program (`python -m stairhatch.simulator.adapter`) that runs a controller for each instance.
"""
