package message

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Route names a kind of call: a service, a method and the first segment of
// the path. Calls of one route are taken to do the same work.
type Route uint64

// Odd constants that keep the three parts of a route apart (the multipliers
// of xxHash64).
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
