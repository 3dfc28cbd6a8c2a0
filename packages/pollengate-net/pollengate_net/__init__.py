"""Network clients and message codecs: store, VM list, backend servers, workers and peers."""
