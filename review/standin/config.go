package main

// configuration returns a configuration with the given routes, for a plain service
// "desk" and a model service "pool".
func configuration(version int, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": "desk", "health-path": "/health", "max-connections": 214, "protocol": "h1", "tls": false},
			{
				"name": "pool", "health-path": "/health", "max-connections": 2074, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 192, "kv-capacity": 100000, "kv-token-bytes": 459000, "link-mbps": 480000.0, "stride": 2,
					"models":  []map[string]any{{"name": "m", "pace": 1.0, "load-s": 1.0, "warm-s": 1.0}},
					"step_ms": 0.85, "per_seq_ms": 0.00297, "context_per_k": 0.00398, "read_per_s": 252000.0, "pairs_per_m": 0.129,
					"chunk": 512, "report_lag_ms": 200.0, "loads-per-s": 0.0, "loads_at_once": 6, "delays": []any{},
					"usual": map[string]any{"prompt": 772, "answer": 154}, "layers": 20, "layer-mb": 1750.0, "activation-bytes": 22900, "pipe-mbps": 7900.0,
					"kinds": []map[string]any{{"name": "a100s", "size-mb": 36000.0, "pace": 3.1, "read-factor": 3.2}},
				},
			},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []map[string]any{{"name": "parish", "api-keys": []string{"key-parish"}, "priority": 1}},
	}
}

func route(name, prefix, kind, service string, timeout int) map[string]any {
	return map[string]any{
		"name": name, "host": "maps.example", "path-prefix": prefix, "route-type": kind, "timeout-ms": timeout,
		"target-latency-ms": 150, "priority": 1, "service": service, "max-attempts": 2, "public": false,
	}
}

func streamRoute(name, prefix string) map[string]any {
	r := route(name, prefix, "streaming", "pool", 20000)
	r["target-latency-ms"], r["sticky"], r["resumable"], r["gap-target-ms"] = 500, true, true, 200
	return r
}
