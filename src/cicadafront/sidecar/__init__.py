"""The deployment with one instance beside each target."""
