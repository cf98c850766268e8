"""All network I/O of a softswitch: sockets, receive buffers and the tasks that serve the connections.

No module of this package parses the bytes. A `ConnectionProtocol` receives the bytes read from a connection
and returns the bytes to write; a `DatagramProtocol` does the same for a UDP port. `network` composes the
modules and is the public interface of the package. `listener` accepts, limits and evicts the connections of
callers. `reader` and `writer` transfer the bytes, and `connection_runner` runs both for one connection.
`connector` dials, and redials the connections that have to stay open. `background` runs the other tasks and
the timers. `descriptor_budget` divides the file descriptors between callers and servers.
"""
