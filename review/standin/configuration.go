package standin

import (
	"encoding/json"
	"fmt"
)

// Route is a route of the operator's configuration.
type Route struct {
	Name, Kind, Host, Prefix, Service string
	ObjectiveMS, TimeoutMS            int
	Priority, Attempts                int
}

// Configuration returns the document of a version.
func Configuration(version int, routes []Route, services []string) ([]byte, error) {
	type object = map[string]any
	var listeners, clusters []object
	byHost := make(map[string][]object)
	var hosts []string
	for _, r := range routes {
		if byHost[r.Host] == nil {
			hosts = append(hosts, r.Host)
		}
		byHost[r.Host] = append(byHost[r.Host], object{
			"name": r.Name, "route_kind": r.Kind, "target_latency_ms": r.ObjectiveMS, "priority": r.Priority,
			"match":  object{"path_prefix": r.Prefix},
			"action": object{"service": r.Service, "timeout_ms": r.TimeoutMS, "max_attempts": r.Attempts},
		})
	}
	for _, h := range hosts {
		listeners = append(listeners, object{"host": h, "rules": byHost[h]})
	}
	for _, s := range services {
		clusters = append(clusters, object{"name": s, "health_path": "/healthz", "max_connections": 1522, "protocol": "h1", "tls": false})
	}
	return json.Marshal(object{
		"version": fmt.Sprintf("%08x", version),
		"limits": object{
			"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
		"listeners": listeners, "clusters": clusters,
	})
}
