"""What is kept: slots, deadlines, calls not yet answered, counters, and the world by its ids."""
