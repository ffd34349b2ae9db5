"""Stand-ins of the platform for the review's cases: discovery, the relay, proxies, collectors."""
