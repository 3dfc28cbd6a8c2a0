"""Network adapters: store, VM list, workers and peers."""
