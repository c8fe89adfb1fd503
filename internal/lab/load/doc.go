// Package load is an open-loop load generator. Customers send requests at
// seeded random times independently of earlier responses, retry failed
// requests and verify every response.
package load
