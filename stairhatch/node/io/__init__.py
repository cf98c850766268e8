"""All network I/O of a softswitch: the sockets, the buffers they are read into and the tasks that serve them.

Nothing here looks into the bytes. A connection's `ConnectionProtocol` is fed what is read and hands out what
is to be written; a `DatagramProtocol` does the same for a UDP port. `network` composes the parts and is the
face that others use; `listener` accepts, limits and evicts the connections of callers; `reader` and `writer`
move the bytes, `connection_runner` runs both for one connection; `connector` dials, and keeps up
what has to be; `background` runs the other tasks and the timers; `descriptor_budget` says who may have how
many descriptors.
"""
