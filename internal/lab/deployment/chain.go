package deployment

import (
	"net/http"
	"time"

	"github.com/papayapath/papayapath/internal/lab/load"
	"github.com/papayapath/papayapath/internal/lab/server"
)

// Mean run times, without the calls that a run makes. The deep service is
// slow enough that the overhead of the lab's own processes hardly changes its
// capacity.
const (
	frontRunTime      = 2 * time.Millisecond
	middleRunTime     = 3 * time.Millisecond
	bottleneckRunTime = 24 * time.Millisecond
)

// Sizes of answer bodies in bytes.
const (
	smallBody    = 1 << 10
	pageBody     = 8 << 10
	downloadBody = 256 << 10
	bundleBody   = 5 << 18 // 1.25 MiB, above the size up to which nodes buffer whole bodies
)

// clientRetries is how often a client sends a failed request again at most.
const clientRetries = 4

// get returns the step that reads path of service.
func get(service, path string) server.Step {
	return server.Step{Service: service, Method: http.MethodGet, Path: path}
}

// post returns the step that does non-repeatable work.
func post(service, path string) server.Step {
	return server.Step{Service: service, Method: http.MethodPost, Path: path, NonRepeatable: true}
}

// path returns how a server answers requests for prefix.
func path(prefix string, size int, steps ...server.Step) server.Path {
	return server.Path{Prefix: prefix, Size: size, Steps: steps}
}

// weighted returns a class with its share of a customer's requests.
func weighted(c load.Class, weight float64) load.Class {
	c.Weight = weight
	return c
}

// customer returns a customer whose clients resend.
func customer(name string, rate float64, classes ...load.Class) load.Customer {
	return load.Customer{Name: name, Rate: rate, MaxRetries: clientRetries, Classes: classes}
}
