"""JSON-RPC 2.0 front end: serves the requests that gateways send over TCP."""
