"""The role beside a target: slots, queue and connections."""
