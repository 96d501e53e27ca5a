"""The JSON-RPC 2.0 front: serves the requests that gateways send over TCP."""
