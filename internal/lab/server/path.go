package server

import (
	"strings"
	"time"
)

// Step is a call to another service that a server makes while it runs a
// request.
type Step struct {
	Service       string
	Method        string
	Path          string // the part of the request's path after the prefix is appended
	NonRepeatable bool   // the call must run at most once for a request
}

// Path describes how a server handles requests whose path starts with Prefix.
type Path struct {
	Prefix string
	Run    time.Duration // mean run time without the steps; 0 selects the server's default
	Size   int           // size of the response body in bytes
	Steps  []Step        // called in sequence, halfway through the run
}

// match returns the first Path whose prefix matches, or false if there is
// none.
func match(paths []Path, request string) (Path, bool) {
	for _, p := range paths {
		if strings.HasPrefix(request, p.Prefix) {
			return p, true
		}
	}
	return Path{}, false
}
