// Package workload estimates how much work a backend server still has to do, from how
// long its requests have run.
package workload
