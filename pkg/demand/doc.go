// Package demand admits requests by the retries that they will need at the services
// that they call.
package demand
