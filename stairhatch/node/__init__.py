"""The softswitch node: call manager, platform frontend, server connections, service discovery, admin, log."""
