package admission

import (
	"time"

	"github.com/papayapath/papayapath/pkg/priority"
)

// Controller holds the admission threshold of one server.
type Controller struct {
	threshold priority.Priority
}

// New returns a controller that admits everything.
func New() *Controller { return &Controller{} }

// Reset admits everything.
func (c *Controller) Reset(time.Time) { c.threshold = 0 }

// Threshold returns the lowest priority that is admitted.
func (c *Controller) Threshold() priority.Priority { return c.threshold }

// Arrive records that a call was offered.
func (c *Controller) Arrive(priority.Priority) {}

// Start records that a call was handed over after it had waited.
func (c *Controller) Start(time.Duration) {}

// Refuse records that a call was refused although it was admitted.
func (c *Controller) Refuse() {}

// Adapt moves the threshold if the interval is over.
func (c *Controller) Adapt(time.Time, int) {}
