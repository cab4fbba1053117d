"""The caller, backend server and node processes of the latency benchmark."""
