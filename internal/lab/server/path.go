package server

import (
	"strings"
	"time"
)

// Step is one call that a server makes while it runs a request.
type Step struct {
	Service       string
	Method        string
	Path          string // followed by what follows the prefix in the path of the request
	NonRepeatable bool   // the call must not run more than once for a request
}

// Path is how a server answers the requests whose path starts with Prefix.
type Path struct {
	Prefix string
	Run    time.Duration // mean run time without the steps; 0 takes the server's
	Size   int           // bytes of the answer body
	Steps  []Step        // made one after the other, halfway through the run
}

// match returns the path of a request, or false if the server has none.
func match(paths []Path, request string) (Path, bool) {
	for _, p := range paths {
		if strings.HasPrefix(request, p.Prefix) {
			return p, true
		}
	}
	return Path{}, false
}
