"""The daemon: settings, composition root, roles and the HTTP border."""
