"""The softswitch on sockets: a core that knows no wire, two fronts, and one file that does all I/O."""
