"""Processes of the latency benchmark."""
