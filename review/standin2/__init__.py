"""Stand-ins of the second review: store, backends, requesters and the platform."""
