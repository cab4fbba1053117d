"""The demo: runs scaled-down copies of both deployments on loopback.

Each node, the object store stand-in and the backend server stand-ins run as
real processes that a script restarts, pauses or cuts off from the store.
"""
