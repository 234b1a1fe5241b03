"""The agent role of an instance: slots, queues and connections of targets."""
