package stand

// route returns a route of the configuration.
func route(name, prefix, kind, service string, timeoutMS, goalMS, attempts int) map[string]any {
	return map[string]any{
		"name": name, "hostname": host, "prefix": prefix, "kind": kind, "timeoutMs": timeoutMS, "latencyGoalMs": goalMS,
		"priority": 1, "service": service, "maxAttempts": attempts, "public": false, "sticky": kind == "streaming",
		"resumeStreams": false, "gapTargetMs": 400,
	}
}

// publish writes a configuration with the given routes and services.
func (b *bench) publish(version int, routes []map[string]any, services ...map[string]any) {
	b.store.put("op/config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"headerBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "keys": []string{clientKey}, "priority": 1}},
	})
	b.record.line("configuration %d is acknowledged", version)
}

// engines returns a service of model workers.
func engines(name string) map[string]any {
	return map[string]any{
		"name": name, "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 64, "kvCapacity": 546534, "kvBytes": 18432, "linkMbps": 180000.0, "stride": 5, "most": 2, "models": []any{map[string]any{"name": "m"}}},
	}
}

// plain returns a service without model workers.
func plain(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/health", "maxConns": 100, "protocol": "h1", "tls": false}
}
