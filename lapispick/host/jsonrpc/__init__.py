"""The JSON-RPC 2.0 front: requests of gateways over TCP."""
