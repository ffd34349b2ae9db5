"""Cluster members, their links, and the clients that propose or follow the agreed document."""
