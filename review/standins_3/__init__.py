"""Stand-ins of the store, the runners and the clients for the cases 11 to 15."""
