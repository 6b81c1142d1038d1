package main

// deskConfig returns a configuration with one service and one route to it. The route needs a
// key if there are tenants, which may be an empty list; nil leaves the field out.
func deskConfig(version int, tenants []any) map[string]any {
	cfg := map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "orders", "hostname": "desk.example", "prefix": "/orders/", "kind": "unsafe", "target_latency_ms": 300, "timeout_ms": 4000,
			"priority": 1, "max_attempts": 1, "allow_anonymous": tenants == nil, "service": "desk",
		}},
		"services": []any{map[string]any{"name": "desk", "health_path": "/health", "max_connections": 220}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	if tenants != nil {
		cfg["tenants"] = tenants
	}
	return cfg
}
