"""Stand-ins for the platform: object API and upstream."""
