"""A proxy fleet for back ends that suffer gray failures."""
