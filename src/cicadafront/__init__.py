"""A fleet of HTTP proxies for back ends that are prone to gray failures."""
