package message

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Route is a hash of the service, the method and the first path segment of a
// call. Calls of the same route are assumed to do the same work.
type Route uint64

// Odd multipliers, taken from xxHash64, that make the hash depend on the order
// of the parts of a route.
const (
	methodPrime Route = 0x9E3779B185EBCA87
	pathPrime   Route = 0xC2B2AE3D27D4EB4F
)

// RouteOf returns the route of a call.
func RouteOf(service, method, path string) Route {
	return Route(xxhash.Sum64String(service)) +
		methodPrime*Route(xxhash.Sum64String(method)) +
		pathPrime*Route(xxhash.Sum64String(segment(path)))
}

// segment returns the first segment of a path with its leading slash.
func segment(path string) string {
	if path == "" {
		return path
	}
	if end := strings.IndexAny(path[1:], "/?"); end >= 0 {
		return path[:end+1]
	}
	return path
}
