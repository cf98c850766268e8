"""The sockets of a softswitch: all that touches the network."""
