"""papayad, the node process that runs on each VM with a backend server.

The package imports nothing by itself, so that a program can set up its
signals before the other modules are imported.
"""
