"""Owner node: admission control, queues and load shedding."""
