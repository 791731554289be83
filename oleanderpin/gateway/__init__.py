"""The gateway: an HTTP proxy on one event loop with pipelined connections."""
