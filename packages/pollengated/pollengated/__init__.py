"""The `pollengated` daemon: settings, composition root, roles and HTTP interface."""
