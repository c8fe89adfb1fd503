package deployment

import (
	"net/http"
	"time"

	"github.com/papayapath/papayapath/internal/lab/load"
	"github.com/papayapath/papayapath/internal/lab/server"
)

// Mean run times, excluding the calls that a run makes. The run time of the
// bottleneck service is long enough that the overhead of the lab's own
// processes hardly affects its capacity.
const (
	frontRunTime      = 2 * time.Millisecond
	middleRunTime     = 3 * time.Millisecond
	bottleneckRunTime = 24 * time.Millisecond
)

// Response body sizes in bytes.
const (
	smallBody    = 1 << 10
	pageBody     = 8 << 10
	downloadBody = 256 << 10
	bundleBody   = 5 << 18 // 1.25 MiB, above the limit up to which nodes buffer complete bodies
)

// clientRetries is the maximum number of retries by a client.
const clientRetries = 4

// get returns a step with a repeatable call of path on service.
func get(service, path string) server.Step {
	return server.Step{Service: service, Method: http.MethodGet, Path: path}
}

// post returns a step with a non-repeatable call of path on service.
func post(service, path string) server.Step {
	return server.Step{Service: service, Method: http.MethodPost, Path: path, NonRepeatable: true}
}

// path returns the Path for a prefix, with the default run time of the
// service.
func path(prefix string, size int, steps ...server.Step) server.Path {
	return server.Path{Prefix: prefix, Size: size, Steps: steps}
}

// weighted returns c with its relative share of a customer's requests.
func weighted(c load.Class, weight float64) load.Class {
	c.Weight = weight
	return c
}

// customer returns a customer whose clients retry failed requests.
func customer(name string, rate float64, classes ...load.Class) load.Customer {
	return load.Customer{Name: name, Rate: rate, MaxRetries: clientRetries, Classes: classes}
}
