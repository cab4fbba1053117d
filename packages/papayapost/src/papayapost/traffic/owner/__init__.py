"""The owner node: admission into the backend server's slots."""
