"""The softswitch: call manager, platform frontend, server connections, service discovery, admin, log."""
