// Package load is an open-loop load generator: customers send requests at
// seeded random times whether or not earlier ones were answered, send failed
// ones again, and check every answer.
package load
