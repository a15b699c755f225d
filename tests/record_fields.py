"""Values that no record of an upstream can have."""

RECORD_FIELDS_OUT_OF_RANGE = (
    {"peer_address": "10.0.0.1:99999"},
    {"peer_address": "10.0.0.1:0"},
    {"peer_address": "10.0.0.1:x"},
    {"peer_address": "10.0.0.1"},
    {"peer_address": ":80"},
    {"peer_address": "10.0.0.1:" + 5000 * "9"},
    {"slots": -4},
    {"slots": 0},
    {"slots": 2**63},
    {"slots": 10**400},
    {"born_ms": -1},
    {"born_ms": 2**70},
    {"service": ""},
    {"region": "r" * 5000},
)
