"""Configuration controller for a fleet of proxies."""
