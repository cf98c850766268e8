"""Adapter that runs the overload controller in the simulator.

`codec` decodes the simulator's binary frames into typed `records` and encodes them (`frame_reader` is its
cursor). `adapter` is the program (`python -m stairhatch.simulator.adapter`) with a controller per instance.
"""
