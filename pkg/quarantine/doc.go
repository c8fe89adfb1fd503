// Package quarantine detects requests that crash backend servers, isolates the
// suspects and refuses the culprits.
package quarantine
