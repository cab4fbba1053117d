"""The demo: both deployments in small, as real processes on loopback."""
