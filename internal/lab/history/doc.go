// Package history records the runs on backend servers and the outcomes
// reported to callers, so that checkers can compare the two.
package history
