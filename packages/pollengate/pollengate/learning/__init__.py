"""What owners learn about interference, and decisions under doubt about it."""
